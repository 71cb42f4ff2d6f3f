package hyssopturn.relay;

import java.time.Duration;

/**
 * Tells when the next event of a stream is overdue, from the stream's own pace; pure.
 *
 * <p>The time between events grows with the number of engines of a chain. A fixed bound that shows
 * a fault on a short chain would make every stream of a long one look overdue all the time. Answers
 * deployments whose chains are long.
 */
final class StreamPace {
    /** Weight of the newest time between events against those before. */
    private static final double NEWEST = 0.2;

    /** Longest time between events that counts for the pace; a longer one is a fault's own. */
    private static final Duration MOST = Duration.ofMillis(250);

    private double usualNanos;

    /** Notes the time between two deliveries. */
    void gap(long nanos) {
        double counted = Math.min(nanos, MOST.toNanos());
        usualNanos = usualNanos == 0 ? counted : usualNanos + NEWEST * (counted - usualNanos);
    }

    /**
     * Tells whether a wait is longer than is usual.
     *
     * @param waitedNanos the wait so far
     * @param least shortest wait that may be called so
     * @param times how many usual waits it must last
     */
    boolean overdue(long waitedNanos, Duration least, double times) {
        return waitedNanos > Math.max((double) least.toNanos(), times * usualNanos);
    }
}
