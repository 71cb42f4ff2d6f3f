package hyssopturn.tunnel;

import hyssopturn.model.Address;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Which endpoints this node reaches only through other nodes; not thread-safe.
 *
 * <p>That other nodes reach an endpoint to which this node gets no connection tells a lost link of
 * this node from an endpoint that has failed. If several endpoints are out of reach, and none was
 * reached since, the node takes all of its links for lost, so that requests to further endpoints
 * need not find out. Trial connections show when the links are back.
 */
final class EndpointPaths {
    /** Time for which an endpoint counts as out of reach after that was last seen. */
    static final Duration VALIDITY = Duration.ofSeconds(2);

    /** Interval between trial connections while links are lost. */
    static final Duration TRIAL_INTERVAL = Duration.ofMillis(300);

    /** Time for which other nodes are not asked again about an endpoint that they do not reach. */
    static final Duration UNREACHABLE_VALIDITY = Duration.ofMillis(500);

    /** Number of endpoints out of reach from which on all links count as lost. */
    static final int ALL_LOST_FROM = 2;

    private final Map<Address, Loss> losses = new HashMap<>();
    private final Map<Address, Long> unreachableNanos = new HashMap<>();
    private long trialNanos = Long.MIN_VALUE / 2;
    private long reachedNanos = Long.MIN_VALUE / 2;

    /** Times at which an endpoint was first and last seen to be out of reach. */
    private record Loss(long sinceNanos, long latestNanos) {}

    /** Records that other nodes reach an endpoint to which this one has got no connection. */
    void recordLost(Address endpoint, long nowNanos) {
        losses.compute(
                endpoint,
                (e, before) -> new Loss(before == null ? nowNanos : before.sinceNanos, nowNanos));
    }

    /** Records that this node reaches an endpoint. */
    void recordReached(Address endpoint, long nowNanos) {
        losses.remove(endpoint);
        reachedNanos = nowNanos;
    }

    /** Records that no node that was asked reaches an endpoint. */
    void recordUnreachable(Address endpoint, long nowNanos) {
        unreachableNanos.values().removeIf(at -> nowNanos - at > UNREACHABLE_VALIDITY.toNanos());
        unreachableNanos.put(endpoint, nowNanos);
    }

    /** Returns whether other nodes did not reach an endpoint a short time ago. */
    boolean unreachable(Address endpoint, long nowNanos) {
        Long at = unreachableNanos.get(endpoint);
        return at != null && nowNanos - at <= UNREACHABLE_VALIDITY.toNanos();
    }

    /** Returns whether connections to an endpoint are first tried through other nodes. */
    boolean lost(Address endpoint, long nowNanos) {
        return allLost(nowNanos) || losses.containsKey(endpoint);
    }

    /** Returns whether all links to endpoints count as lost. */
    boolean allLost(long nowNanos) {
        losses.values().removeIf(l -> nowNanos - l.latestNanos > VALIDITY.toNanos());
        return losses.values().stream().filter(l -> l.sinceNanos > reachedNanos).count()
                >= ALL_LOST_FROM;
    }

    /** Returns whether a trial connection is due, which the caller then makes. */
    boolean takeTrial(long nowNanos) {
        boolean due = nowNanos - trialNanos >= TRIAL_INTERVAL.toNanos();
        if (due) {
            trialNanos = nowNanos;
        }
        return due;
    }

    /** Returns the number of endpoints that only other nodes reach. */
    int lostCount() {
        return losses.size();
    }
}
