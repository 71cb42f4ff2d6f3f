package hyssopturn.model;

/** What runs the work of a class. */
public sealed interface Work {
    /**
     * Tokens from a model.
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
