package hyssopturn.relay;

import java.time.Duration;
import java.util.Optional;

/**
 * Detects delays of the node's own event loop. Does no I/O; the caller passes in the time.
 *
 * <p>While the loop is delayed, an answer may have arrived but not been read, so a timeout does not
 * show that an endpoint failed. This happens after a start under full load, when all code still
 * runs slowly, and on machines that are slowed or frozen.
 */
public final class LoopLag {
    /** Lateness of a tick above which the loop counts as delayed. */
    static final Duration MAX_LATENESS = Duration.ofMillis(30);

    /** How long after a late tick timeouts are ignored; longer than the timeouts concerned. */
    static final Duration RECOVERY_PERIOD = Duration.ofMillis(400);

    private long expectedNanos = Long.MAX_VALUE;
    private long lastLateNanos = Long.MIN_VALUE;

    /** Creates the state of a loop that has not ticked yet. */
    public LoopLag() {}

    /**
     * Records a tick of the event loop.
     *
     * @param nowNanos current time
     * @param interval time until the next tick is due
     * @return how late this tick is if the loop was on time until now, otherwise empty
     */
    Optional<Duration> tick(long nowNanos, Duration interval) {
        Duration lateness = lateness(nowNanos);
        boolean firstDelay = delayed(nowNanos) && !recentlyLate(nowNanos);
        if (delayed(nowNanos)) {
            lastLateNanos = nowNanos;
        }
        expectedNanos = nowNanos + interval.toNanos();
        return firstDelay ? Optional.of(lateness) : Optional.empty();
    }

    private Duration lateness(long nowNanos) {
        return expectedNanos == Long.MAX_VALUE
                ? Duration.ZERO
                : Duration.ofNanos(Math.max(0, nowNanos - expectedNanos));
    }

    /** Returns whether the loop has run on time for long enough to rely on timeouts. */
    boolean onTime(long nowNanos) {
        return !recentlyLate(nowNanos) && !delayed(nowNanos);
    }

    private boolean recentlyLate(long nowNanos) {
        return lastLateNanos != Long.MIN_VALUE
                && nowNanos - lastLateNanos < RECOVERY_PERIOD.toNanos();
    }

    private boolean delayed(long nowNanos) {
        return lateness(nowNanos).compareTo(MAX_LATENESS) > 0;
    }
}
