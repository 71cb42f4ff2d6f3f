package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.port.Instance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Exponential backoff for endpoints that failed requests of this node. */
final class EndpointBackoff {
    private static final Duration INITIAL_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_DELAY = Duration.ofSeconds(8);
    private static final int MAX_DOUBLINGS = 3;

    private final Map<InstanceId, Backoff> backoffs = new HashMap<>();

    private record Backoff(long incarnation, int doublings, long untilNanos) {}

    /** Records a failure; returns true if the endpoint was not backing off. */
    boolean recordFailure(Instance endpoint, long now) {
        Backoff before = backoffs.get(endpoint.id());
        boolean same = before != null && before.incarnation() == endpoint.incarnation();
        if (same && now < before.untilNanos()) {
            return false;
        }
        int doublings = same ? Math.min(before.doublings() + 1, MAX_DOUBLINGS) : 0;
        long delay = Math.min(MAX_DELAY.toNanos(), INITIAL_DELAY.toNanos() << doublings);
        backoffs.put(endpoint.id(), new Backoff(endpoint.incarnation(), doublings, now + delay));
        return true;
    }

    /** Records an answer; returns true if a failure of the endpoint was on record. */
    boolean recordSuccess(InstanceId id, long incarnation) {
        Backoff before = backoffs.get(id);
        return before != null && before.incarnation() == incarnation && backoffs.remove(id) != null;
    }

    boolean isBackingOff(Instance endpoint, long now) {
        Backoff backoff = backoffs.get(endpoint.id());
        return backoff != null
                && backoff.incarnation() == endpoint.incarnation()
                && now < backoff.untilNanos();
    }

    /** Drops expired entries; returns true if an endpoint may have become usable again. */
    boolean prune(Roster roster, long now) {
        int before = backoffs.size();
        backoffs.entrySet()
                .removeIf(
                        e ->
                                !roster.contains(e.getKey())
                                        || now - e.getValue().untilNanos() > MAX_DELAY.toNanos());
        boolean ended =
                backoffs.values().stream()
                        .anyMatch(
                                s ->
                                        now >= s.untilNanos()
                                                && now - s.untilNanos() < INITIAL_DELAY.toNanos());
        return ended || backoffs.size() != before;
    }
}
