package hyssopturn.relay;

import hyssopturn.catalog.Route;

import java.time.Duration;

/**
 * Estimates how long callers wait for an event. The estimate orders streams that wait, and limits
 * how long one is held that was sent nowhere yet; it ends no answer that began. Does no I/O; the
 * caller passes in the time.
 */
final class CallerPatience {
    /** Time after which callers leave a stream without events, whatever its route. */
    private static final Duration MIN_GAP = Duration.ofSeconds(2);

    /** Multiple of the target time to the first event that callers wait for an event. */
    private static final int TARGETS = 4;

    /** Multiple of the target for the pause between events that callers wait for an event. */
    private static final int GAP_TARGETS = 8;

    /** Time that another chain is given to deliver its first event. */
    private static final Duration FIRST_EVENT_RESERVE = Duration.ofMillis(200);

    private CallerPatience() {}

    /** Returns the time without an event after which callers of a route leave a stream. */
    static Duration longestGap(Route route) {
        Duration byTarget = route.target().multipliedBy(TARGETS);
        Duration byGapTarget = route.gapTarget().multipliedBy(GAP_TARGETS);
        return max(MIN_GAP, max(byTarget, byGapTarget));
    }

    /**
     * Returns until when a chain that is started would still serve the caller of a stream.
     *
     * @param route route of the stream
     * @param lastEventNanos time at which the caller was sent the last event, or sent the request
     * @param timeoutNanos time at which the request's timeout expires
     */
    static long startBeforeNanos(Route route, long lastEventNanos, long timeoutNanos) {
        long leavesNanos = Math.min(lastEventNanos + longestGap(route).toNanos(), timeoutNanos);
        return leavesNanos - FIRST_EVENT_RESERVE.toNanos();
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
