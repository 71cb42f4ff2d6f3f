package hyssopturn.model;

/** How the requests of a class are served: by a model or by a plain service. */
public sealed interface Work {
    /**
     * Generation of tokens by a model.
     *
     * @param model name of the model; its version comes from the configuration
     */
    record Generate(String model) implements Work {}

    /**
     * A call of a plain service.
     *
     * @param service name of the service
     * @param repeatable true if a call may run more than once
     */
    record Call(String service, boolean repeatable) implements Work {}
}
