package hyssopturn.fleet;

import hyssopturn.model.InstanceId;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Last announcements of endpoints that were dropped, and announcements that are older than what is
 * known. A list that returns from an older copy holds endpoints that have left; one that is alive
 * announces itself again. Not thread-safe.
 */
final class Departures {
    private static final int MAX_ENDPOINTS = 4_096;

    private final Map<InstanceId, Endpoint> departed = bounded();
    private final Map<InstanceId, Endpoint> doubted = bounded();

    private static Map<InstanceId, Endpoint> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<InstanceId, Endpoint> eldest) {
                return size() > MAX_ENDPOINTS;
            }
        };
    }

    /** Remembers the last announcement of an endpoint that is dropped. */
    void add(Endpoint last) {
        departed.put(last.id(), last);
    }

    /** Returns the last announcement of an endpoint that was dropped. */
    Optional<Endpoint> last(InstanceId id) {
        return Optional.ofNullable(departed.get(id));
    }

    /** Notes that an announcement is news. */
    void clear(InstanceId id) {
        departed.remove(id);
        doubted.remove(id);
    }

    /**
     * Notes an announcement that is older than what is known; returns true if the endpoint has
     * announced itself again since the last such one, and so is alive.
     */
    boolean confirms(Endpoint older) {
        Endpoint before = doubted.put(older.id(), older);
        return before != null
                && before.incarnation() == older.incarnation()
                && before.heartbeat() < older.heartbeat();
    }
}
