package hyssopturn.chain;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which layers each engine should hold.
 *
 * <p>Links between zones carry far less than the engines of a zone can process, so each zone whose
 * engines have memory for the whole model holds it on its own; the engines of all other zones hold
 * it together. {@link EngineGroup} plans the layers of the engines of such a group.
 */
public final class LayerPlanner {
    private final EngineSpec spec;

    /**
     * Creates a planner.
     *
     * @param spec sizes and speeds of the engines
     */
    public LayerPlanner(EngineSpec spec) {
        this.spec = spec;
    }

    /**
     * Layers that an engine should be ordered to hold.
     *
     * @param engine the engine
     * @param before layers that it holds or is about to hold, empty if there are none
     * @param range layers that it should hold
     * @param urgent whether requests that pass layers which it gives up may be cut off
     */
    public record Assignment(
            Endpoint engine, Optional<LayerRange> before, LayerRange range, boolean urgent) {
        int layersToLoad() {
            return range.size() - before.map(range::overlap).orElse(0);
        }
    }

    /**
     * Plans which layers the engines should hold, while no engine carries out an order.
     *
     * @param engines all live engines, with the layers that they hold
     * @return engines that should hold other layers than they do now
     */
    public List<Assignment> plan(List<Endpoint> engines) {
        return plan(engines, Map.of());
    }

    /**
     * Plans which layers the engines should hold.
     *
     * @param engines all live engines, with the layers that they hold or are about to hold
     * @param loading engines that carry out an order, with the layers that they still load
     * @return engines that should hold other layers than they do now
     */
    public List<Assignment> plan(List<Endpoint> engines, Map<InstanceId, Integer> loading) {
        List<EngineGroup> groups = groups(engines, loading);
        boolean ready =
                engines.stream()
                        .anyMatch(e -> e.layers().isPresent() && !loading.containsKey(e.id()));
        if (!ready) {
            return groups.stream().flatMap(group -> group.fill().stream()).toList();
        }
        LoadQueue queue = new LoadQueue(loading);
        groups.stream()
                .map(EngineGroup::repair)
                .sorted(Comparator.comparingInt(LoadQueue::layersToLoad))
                .forEach(queue::addUrgent);
        groups.forEach(group -> queue.addSpare(group.fill()));
        return queue.assignments();
    }

    private List<EngineGroup> groups(List<Endpoint> engines, Map<InstanceId, Integer> loading) {
        int[] totalCopies = new int[spec.layers()];
        List<Endpoint> rest = new ArrayList<>();
        List<EngineGroup> groups = new ArrayList<>();
        for (List<Endpoint> zone : zones(engines)) {
            if (EngineGroup.canHoldModel(spec, zone)) {
                groups.add(new EngineGroup(spec, zone, true, loading, totalCopies));
            } else {
                rest.addAll(zone);
            }
        }
        // what moves between engines of several zones takes loads from zones that can be whole
        groups.add(new EngineGroup(spec, rest, groups.isEmpty(), loading, totalCopies));
        return groups;
    }

    private Collection<List<Endpoint>> zones(List<Endpoint> engines) {
        Map<String, List<Endpoint>> zones = new TreeMap<>();
        engines.stream()
                .filter(e -> spec.kind(e.kind()).isPresent())
                .filter(e -> e.layers().stream().allMatch(spec::hasLayers))
                .sorted(Comparator.comparing(Endpoint::id))
                .forEach(e -> zones.computeIfAbsent(e.zone(), z -> new ArrayList<>()).add(e));
        return zones.values();
    }
}
