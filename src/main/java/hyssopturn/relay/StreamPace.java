package hyssopturn.relay;

import java.time.Duration;

/**
 * Decides whether the next event of a stream is overdue, from the average time between its events.
 * Does no I/O; the caller passes in the time.
 *
 * <p>The time between events grows with the number of engines of a chain. With a fixed bound that
 * detects a fault on a short chain, every stream of a long chain would always look overdue.
 */
final class StreamPace {
    /** Weight of the newest gap in the moving average. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** Longest gap that enters the average; a longer one is caused by a fault and is capped. */
    private static final Duration MAX_GAP = Duration.ofMillis(250);

    private double averageNanos;

    /** Adds the time between two deliveries to the average. */
    void recordGap(long nanos) {
        double capped = Math.min(nanos, MAX_GAP.toNanos());
        averageNanos =
                averageNanos == 0 ? capped : averageNanos + NEWEST_WEIGHT * (capped - averageNanos);
    }

    /**
     * Returns whether a wait is longer than usual.
     *
     * @param waitedNanos the wait so far
     * @param minWait wait up to which an event is never overdue
     * @param factor multiple of the average gap that the wait must exceed
     */
    boolean overdue(long waitedNanos, Duration minWait, double factor) {
        return waitedNanos > Math.max((double) minWait.toNanos(), factor * averageNanos);
    }
}
