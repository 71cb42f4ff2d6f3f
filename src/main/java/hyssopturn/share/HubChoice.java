package hyssopturn.share;

import hyssopturn.model.Address;
import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Which nodes read the store for others: the holders of the first partitions. A node whose hub is
 * silent goes on to the next one, and returns to the first one after a while. Not thread-safe.
 */
final class HubChoice {
    /** Least number of nodes for which a few read the store. */
    static final int MIN_NODES = 12;

    private static final int NODES_PER_HUB = 40;
    private static final int MIN_HUBS = 2;

    /** Number of further nodes that are asked when all hubs are silent. */
    private static final int SUBSTITUTES = 4;

    /** Time after which a hub that was silent is asked again. */
    private static final Duration RETURN_TIME = Duration.ofSeconds(60);

    /** Time without questions after all were silent. */
    private static final Duration REST_TIME = Duration.ofSeconds(5);

    private final Address self;
    private final Clock clock;
    private List<Address> hubs = List.of();
    private List<Address> candidates = List.of();
    private int nodes;
    private int position;
    private long movedNanos;
    private long restUntilNanos;

    HubChoice(Address self, Clock clock) {
        this.self = self;
        this.clock = clock;
        restUntilNanos = clock.nanos();
    }

    /** Sets the holders of the partitions. */
    void update(Map<Integer, Address> holders) {
        List<Address> ordered = List.copyOf(new LinkedHashSet<>(new TreeMap<>(holders).values()));
        nodes = ordered.size();
        int count = Math.max(MIN_HUBS, Math.ceilDiv(nodes - NODES_PER_HUB / 2, NODES_PER_HUB));
        hubs = ordered.subList(0, Math.min(count, ordered.size()));
        Optional<Address> asked = hub();
        candidates = candidates(ordered);
        if (!asked.equals(hub())) {
            position = Math.max(0, asked.map(candidates::indexOf).orElse(0));
        }
    }

    /** Returns the hubs, beginning at one that depends on this node, and then substitutes. */
    private List<Address> candidates(List<Address> ordered) {
        List<Address> found = new ArrayList<>(hubs);
        if (!found.isEmpty()) {
            Collections.rotate(found, spread(self) % found.size());
        }
        int end = Math.min(ordered.size(), hubs.size() + SUBSTITUTES);
        found.addAll(ordered.subList(hubs.size(), end));
        found.remove(self);
        return found;
    }

    /** Returns a number whose remainders are spread also for addresses that differ little. */
    private static int spread(Address address) {
        return (address.hashCode() * 0x9E3779B9) >>> Short.SIZE;
    }

    /** Returns whether the group is large enough, and the hubs are known. */
    boolean active() {
        return nodes >= MIN_NODES && !hubs.isEmpty();
    }

    /** Returns whether this node is to read the store for others. */
    boolean chosen() {
        return active() && hubs.contains(self);
    }

    /** Returns the node to ask, empty if there is none or all were silent a short time ago. */
    Optional<Address> hub() {
        long now = clock.nanos();
        if (position > 0 && now - movedNanos >= RETURN_TIME.toNanos()) {
            position = 0;
        }
        boolean resting = now - restUntilNanos < 0;
        return resting || position >= candidates.size()
                ? Optional.empty()
                : Optional.of(candidates.get(position));
    }

    /** Records that the node that was asked does not answer. */
    void recordSilence() {
        movedNanos = clock.nanos();
        position++;
        if (position >= candidates.size()) {
            position = 0;
            restUntilNanos = movedNanos + REST_TIME.toNanos();
        }
    }
}
