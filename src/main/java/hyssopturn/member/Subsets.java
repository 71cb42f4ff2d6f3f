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
 * Chooses the subset of endpoints that a node sends work to, deterministically.
 *
 * <p>The endpoints of a zone and the nodes that cover the zone are each ordered by hash and spaced
 * evenly on a ring. A node uses consecutive endpoints starting from its own position. So every
 * endpoint is used by nearly the same number of nodes, and an instance that is added or removed
 * shifts the others by at most one position. Nodes with the same view compute the same subsets.
 */
final class Subsets {
    /** Number of nodes up to which each sends work to every endpoint. */
    static final int MAX_NODES_USING_ALL = 8;

    private final Instance self;
    private final List<Instance> nodes;
    private final Map<Object, RingPosition> positions = new HashMap<>();

    /**
     * Position of the node among those that cover a zone; index -1 if it doesn't cover the zone.
     */
    private record RingPosition(int index, int count) {}

    /** An instance and its place on the ring. */
    private record RingEntry(long hash, Instance instance) implements Comparable<RingEntry> {
        RingEntry(Instance instance) {
            this(Rendezvous.hash(instance.id().value()), instance);
        }

        @Override
        public int compareTo(RingEntry other) {
            int byHash = Long.compare(hash, other.hash);
            return byHash != 0 ? byHash : instance.id().compareTo(other.instance.id());
        }
    }

    /** Key of a computed position: which nodes cover a zone depends on both components. */
    private record PositionKey(Zone zone, boolean regionHasEndpoints) {}

    /**
     * Prepares the choice of a node.
     *
     * @param self the node
     * @param nodes all nodes, including the node itself
     */
    Subsets(Instance self, List<Instance> nodes) {
        this.self = self;
        this.nodes = nodes;
    }

    /**
     * Chooses endpoints for the node.
     *
     * @param endpoints interchangeable endpoints to choose from
     * @param size how many to choose; exceeded where an endpoint would otherwise be used by no node
     * @return the chosen endpoints
     */
    Set<InstanceId> choose(Collection<Instance> endpoints, int size) {
        if (nodes.size() <= MAX_NODES_USING_ALL || endpoints.size() <= size) {
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
                    RingPosition position =
                            positions.computeIfAbsent(
                                    new PositionKey(zone, inRegion > 0),
                                    k -> position(zone, inRegion > 0));
                    if (position.index() >= 0) {
                        int share = share(zone, size, inRegion, byZone.size());
                        chosen.addAll(window(position, members, share));
                    }
                });
        return chosen;
    }

    private boolean isNear(Zone zone) {
        return zone.region().equals(self.zone().region());
    }

    private RingPosition position(Zone zone, boolean regionHasEndpoints) {
        List<Instance> ordered =
                nodes.stream()
                        .filter(n -> covers(zone, n, regionHasEndpoints))
                        .map(RingEntry::new)
                        .sorted()
                        .map(RingEntry::instance)
                        .toList();
        List<InstanceId> ids = ordered.stream().map(Instance::id).toList();
        return new RingPosition(ids.indexOf(self.id()), ids.size());
    }

    /**
     * Returns whether a node is in the group that covers a zone together with this node.
     *
     * <p>The nodes of the zone form one group, those of the rest of its region another, and those
     * of other regions a third; the third covers the zone only if the zone's region has no nodes or
     * this node's region has no endpoints.
     */
    private boolean covers(Zone zone, Instance node, boolean regionHasEndpoints) {
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

    private static List<InstanceId> window(
            RingPosition position, List<Instance> members, int share) {
        List<InstanceId> ring =
                members.stream().map(RingEntry::new).sorted().map(p -> p.instance().id()).toList();
        int minimum = Math.ceilDiv(ring.size(), position.count());
        int count = Math.min(ring.size(), Math.max(share, minimum));
        int first = (int) ((long) position.index() * ring.size() / position.count());
        List<InstanceId> result = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            result.add(ring.get((first + i) % ring.size()));
        }
        return result;
    }
}
