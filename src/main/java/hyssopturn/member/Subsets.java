package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.model.Zone;
import hyssopturn.port.Instance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Chooses which endpoints a node sends work to, the same at every node that knows the same.
 *
 * <p>The endpoints of a zone and the nodes that look at the zone stand evenly spaced on a circle,
 * in an order by hash. A node takes the endpoints from its own place on. So every endpoint is taken
 * by nearly the same number of nodes, and one that comes or goes moves the others by one place at
 * most.
 */
final class Subsets {
    /** Number of nodes up to which each sends work to every endpoint. */
    static final int ALL_NODES = 8;

    private final Instance self;
    private final List<Instance> nodes;
    private final Map<Object, Seat> seats = new HashMap<>();

    /** Place of the node among those that look at a zone. */
    private record Seat(int index, int count) {}

    /** An instance and its place on the circle. */
    private record Placed(long hash, Instance instance) implements Comparable<Placed> {
        Placed(Instance instance) {
            this(Rendezvous.hash(instance.id().value()), instance);
        }

        @Override
        public int compareTo(Placed other) {
            int byHash = Long.compare(hash, other.hash);
            return byHash != 0 ? byHash : instance.id().compareTo(other.instance.id());
        }
    }

    /** How nodes and endpoints stand to each other. */
    private record Sight(Zone zone, boolean regionHasEndpoints) {}

    /**
     * Prepares the choice of a node.
     *
     * @param self the node
     * @param nodes all nodes, with the node itself
     */
    Subsets(Instance self, List<Instance> nodes) {
        this.self = self;
        this.nodes = nodes;
    }

    /**
     * Chooses endpoints for the node.
     *
     * @param endpoints endpoints to choose from, any of which would do
     * @param size how many to choose, exceeded where an endpoint would be left to nobody
     * @return the chosen endpoints
     */
    Set<InstanceId> choose(Collection<Instance> endpoints, int size) {
        if (nodes.size() <= ALL_NODES || endpoints.size() <= size) {
            return endpoints.stream().map(Instance::id).collect(Collectors.toSet());
        }
        Map<Zone, List<Instance>> byZone =
                endpoints.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Instance::zone, TreeMap::new, Collectors.toList()));
        int inRegion = (int) byZone.keySet().stream().filter(z -> isNear(z)).count();
        Set<InstanceId> chosen = new LinkedHashSet<>();
        byZone.forEach(
                (zone, members) -> {
                    Seat seat =
                            seats.computeIfAbsent(
                                    new Sight(zone, inRegion > 0), k -> seat(zone, inRegion > 0));
                    if (seat.index() >= 0) {
                        int share = share(zone, size, inRegion, byZone.size());
                        chosen.addAll(window(seat, members, share));
                    }
                });
        return chosen;
    }

    private boolean isNear(Zone zone) {
        return zone.region().equals(self.zone().region());
    }

    private Seat seat(Zone zone, boolean regionHasEndpoints) {
        List<Instance> placed =
                nodes.stream()
                        .filter(n -> looksAt(zone, n, regionHasEndpoints))
                        .map(Placed::new)
                        .sorted()
                        .map(Placed::instance)
                        .toList();
        List<InstanceId> ids = placed.stream().map(Instance::id).toList();
        return new Seat(ids.indexOf(self.id()), ids.size());
    }

    /** Nodes of the zone look at it together, and those of the rest of the region together. */
    private boolean looksAt(Zone zone, Instance node, boolean regionHasEndpoints) {
        if (self.zone().equals(zone)) {
            return node.zone().equals(zone);
        }
        boolean near = node.zone().region().equals(zone.region());
        if (isNear(zone)) {
            return near && !node.zone().equals(zone);
        }
        boolean served = nodes.stream().anyMatch(n -> n.zone().region().equals(zone.region()));
        return !near && (!served || !regionHasEndpoints);
    }

    private int share(Zone zone, int size, int inRegion, int zones) {
        if (inRegion == 0) {
            return Math.ceilDiv(size, zones);
        }
        if (!isNear(zone)) {
            return 1;
        }
        if (inRegion == 1) {
            return size;
        }
        int own = Math.ceilDiv(size, 2);
        return zone.equals(self.zone()) ? own : Math.ceilDiv(size - own, inRegion - 1);
    }

    private static List<InstanceId> window(Seat seat, List<Instance> members, int share) {
        List<InstanceId> circle =
                members.stream().map(Placed::new).sorted().map(p -> p.instance().id()).toList();
        int least = Math.ceilDiv(circle.size(), seat.count());
        int count = Math.min(circle.size(), Math.max(share, least));
        int first = (int) ((long) seat.index() * circle.size() / seat.count());
        List<InstanceId> result = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            result.add(circle.get((first + i) % circle.size()));
        }
        return result;
    }
}
