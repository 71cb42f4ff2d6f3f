package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.port.Instance;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Rendezvous hashing with a hash that is the same at every node. */
final class Rendezvous {
    private static final long MIX_A = 0xbf58476d1ce4e5b9L;
    private static final long MIX_B = 0x94d049bb133111ebL;
    private static final long PRIME = 0x100000001b3L;
    private static final long SEED = 0xcbf29ce484222325L;
    private static final int SHIFT_A = 30;
    private static final int SHIFT_B = 27;
    private static final int SHIFT_C = 31;

    private Rendezvous() {}

    static long hash(String text) {
        long hash = SEED;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return mix(hash);
    }

    static long score(InstanceId one, InstanceId other) {
        return score(hash(one.value()), hash(other.value()));
    }

    static long score(long one, long other) {
        return mix(one * PRIME + other);
    }

    private static long mix(long value) {
        long hash = value;
        hash = (hash ^ (hash >>> SHIFT_A)) * MIX_A;
        hash = (hash ^ (hash >>> SHIFT_B)) * MIX_B;
        return hash ^ (hash >>> SHIFT_C);
    }

    /** Returns the instances with the highest scores for a key. */
    static List<Instance> top(InstanceId key, Collection<Instance> among, int count) {
        return among.stream()
                .sorted(
                        Comparator.comparingLong((Instance i) -> score(key, i.id()))
                                .reversed()
                                .thenComparing(Instance::id))
                .limit(count)
                .toList();
    }
}
