package hyssopturn.member;

import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tombstones of removed instances, so that late facts do not restore them; bounded in age and
 * number.
 */
final class Tombstones {
    static final Duration RETENTION = Duration.ofHours(24);
    static final int MAX_COUNT = 4_096;

    private final Map<InstanceId, Tombstone> tombstones = new LinkedHashMap<>();

    /** The last incarnation of a removed instance and whether it was leaving. */
    record Tombstone(long incarnation, boolean leaving, long createdNanos) {}

    void add(InstanceId id, long incarnation, boolean leaving, long now) {
        tombstones.remove(id);
        tombstones.put(id, new Tombstone(incarnation, leaving, now));
        prune(now);
    }

    private void prune(long now) {
        Iterator<Tombstone> oldest = tombstones.values().iterator();
        while (oldest.hasNext()) {
            boolean aged = now - oldest.next().createdNanos() > RETENTION.toNanos();
            if (!aged && tombstones.size() <= MAX_COUNT) {
                return;
            }
            oldest.remove();
        }
    }

    Optional<Tombstone> find(InstanceId id) {
        return Optional.ofNullable(tombstones.get(id));
    }

    void remove(InstanceId id) {
        tombstones.remove(id);
    }

    int size() {
        return tombstones.size();
    }
}
