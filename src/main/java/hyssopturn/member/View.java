package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Immutable snapshot of the instances that a node knows.
 *
 * @param nodes nodes of this system, marked if they are leaving
 * @param engines model engines that this node may send work to
 * @param services plain services that may get work
 * @param allEngines model engines that any node may send work to
 * @param unreachable nodes that do not answer
 */
public record View(
        List<Instance> nodes,
        List<EngineView> engines,
        List<Instance> services,
        List<EngineView> allEngines,
        Set<InstanceId> unreachable) {
    /** A view without instances. */
    public static final View EMPTY = new View(List.of(), List.of(), List.of());

    /** Copies the lists. */
    public View {
        nodes = List.copyOf(nodes);
        engines = List.copyOf(engines);
        services = List.copyOf(services);
        allEngines = List.copyOf(allEngines);
        unreachable = Set.copyOf(unreachable);
    }

    /**
     * Creates a view in which this node may send work to every engine and every node answers.
     *
     * @param nodes nodes of this system
     * @param engines model engines that may get work
     * @param services plain services that may get work
     */
    public View(List<Instance> nodes, List<EngineView> engines, List<Instance> services) {
        this(nodes, engines, services, engines, Set.of());
    }

    /**
     * An engine and its latest report.
     *
     * @param instance the engine
     * @param report the report
     */
    public record EngineView(Instance instance, EngineReport report) {}

    /** Returns the same view without endpoints, for use until leaving endpoints are known. */
    View withoutEndpoints() {
        return new View(nodes, List.of(), List.of(), List.of(), unreachable);
    }

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
