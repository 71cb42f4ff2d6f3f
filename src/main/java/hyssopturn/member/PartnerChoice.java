package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.port.Instance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** How a node chooses the partners that it exchanges facts with. */
public enum PartnerChoice {
    /** Any nodes, by hash. */
    RANDOM,
    /** One node each of the same zone, of the same region and of another region, by hash. */
    ZONES,
    /** The successor on a ring of the region, one more node of the region and one outside it. */
    RING;

    /** Number of nodes up to which every node is a partner. */
    static final int FULL_MESH_NODES = 8;

    /**
     * Chooses partners deterministically.
     *
     * @param self the node that chooses
     * @param others the nodes to choose from
     * @param count number of partners
     * @return the partners
     */
    List<InstanceId> choose(Instance self, Collection<Instance> others, int count) {
        if (others.size() < FULL_MESH_NODES) {
            return others.stream().map(Instance::id).sorted().toList();
        }
        Set<Instance> chosen = new LinkedHashSet<>();
        switch (this) {
            case RANDOM -> {}
            case ZONES -> {
                addTop(chosen, self, others, i -> i.zone().equals(self.zone()));
                addTop(chosen, self, others, i -> inRegion(self, i) && !chosen.contains(i));
                addTop(chosen, self, others, i -> !inRegion(self, i));
            }
            case RING -> {
                successor(self, others.stream().filter(i -> inRegion(self, i)).toList())
                        .forEach(chosen::add);
                addTop(chosen, self, others, i -> inRegion(self, i) && !chosen.contains(i));
                addTop(chosen, self, others, i -> !inRegion(self, i));
            }
        }
        List<Instance> rest = new ArrayList<>(others);
        rest.removeAll(chosen);
        chosen.addAll(Rendezvous.top(self.id(), rest, Math.max(0, count - chosen.size())));
        return chosen.stream().limit(count).map(Instance::id).toList();
    }

    private static boolean inRegion(Instance self, Instance other) {
        return other.zone().region().equals(self.zone().region());
    }

    private static void addTop(
            Set<Instance> chosen,
            Instance self,
            Collection<Instance> others,
            Predicate<Instance> allowed) {
        chosen.addAll(Rendezvous.top(self.id(), others.stream().filter(allowed).toList(), 1));
    }

    private static List<Instance> successor(Instance self, List<Instance> ring) {
        Comparator<Instance> order =
                Comparator.comparingLong((Instance i) -> Rendezvous.hash(i.id().value()))
                        .thenComparing(Instance::id);
        List<Instance> after = ring.stream().filter(i -> order.compare(i, self) > 0).toList();
        return (after.isEmpty() ? ring : after).stream().min(order).stream().toList();
    }
}
