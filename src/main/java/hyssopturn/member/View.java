package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;

import java.util.List;
import java.util.Optional;

/**
 * What a node knows of the other instances; immutable.
 *
 * @param nodes nodes of this system
 * @param engines model engines that may get work
 * @param services plain services that may get work
 */
public record View(List<Instance> nodes, List<EngineView> engines, List<Instance> services) {
    /** A view of nobody. */
    public static final View EMPTY = new View(List.of(), List.of(), List.of());

    /** Copies the lists. */
    public View {
        nodes = List.copyOf(nodes);
        engines = List.copyOf(engines);
        services = List.copyOf(services);
    }

    /**
     * An engine and what it said last.
     *
     * @param instance the engine
     * @param report its latest report
     */
    public record EngineView(Instance instance, EngineReport report) {}

    /**
     * Finds services by name.
     *
     * @param name name of the service
     * @return its instances
     */
    public List<Instance> servicesNamed(String name) {
        return services.stream()
                .filter(i -> i.role().equals(new Instance.Role.Service(name)))
                .toList();
    }

    /**
     * Finds a node.
     *
     * @param id its name
     * @return the node, if it is known
     */
    public Optional<Instance> node(InstanceId id) {
        return nodes.stream().filter(i -> i.id().equals(id)).findFirst();
    }
}
