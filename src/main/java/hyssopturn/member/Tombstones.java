package hyssopturn.member;

import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Instances that are gone, so that late facts do not bring them back; bounded in age and number.
 */
final class Tombstones {
    static final Duration KEEP = Duration.ofHours(24);
    static final int MAX = 4_096;

    private final Map<InstanceId, Tombstone> stones = new LinkedHashMap<>();

    /** What is kept of an instance that is gone. */
    record Tombstone(long incarnation, boolean left, long nanos) {}

    void add(InstanceId id, long incarnation, boolean left, long now) {
        stones.remove(id);
        stones.put(id, new Tombstone(incarnation, left, now));
        prune(now);
    }

    private void prune(long now) {
        Iterator<Tombstone> oldest = stones.values().iterator();
        while (oldest.hasNext()) {
            boolean aged = now - oldest.next().nanos() > KEEP.toNanos();
            if (!aged && stones.size() <= MAX) {
                return;
            }
            oldest.remove();
        }
    }

    Optional<Tombstone> find(InstanceId id) {
        return Optional.ofNullable(stones.get(id));
    }

    void remove(InstanceId id) {
        stones.remove(id);
    }

    int size() {
        return stones.size();
    }
}
