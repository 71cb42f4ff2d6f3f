package hyssopturn.relay;

import java.time.Duration;

/**
 * Tells whether the node's own event loop ran on time lately; pure.
 *
 * <p>While it did not, an answer may wait unread and a timeout proves nothing against an endpoint.
 * Answers the moments after a start under full load, when all code is still slow, and machines that
 * are slowed or frozen.
 */
public final class LoopLag {
    /** Lateness of a tick that shows that the loop was held up. */
    static final Duration LATE = Duration.ofMillis(30);

    /** How long after such a tick timeouts prove nothing; above the timeouts that are judged. */
    static final Duration MEMORY = Duration.ofMillis(400);

    private long expectedNanos = Long.MAX_VALUE;
    private long lateNanos = Long.MIN_VALUE;

    /** Creates a record of a loop that has not ticked. */
    public LoopLag() {}

    /**
     * Notes that a tick ran.
     *
     * @param nowNanos time now
     * @param next when the next one should run
     */
    void tick(long nowNanos, Duration next) {
        if (held(nowNanos)) {
            lateNanos = nowNanos;
        }
        expectedNanos = nowNanos + next.toNanos();
    }

    /** Tells whether the loop ran on time for long enough to judge others. */
    boolean steady(long nowNanos) {
        boolean remembered = lateNanos != Long.MIN_VALUE && nowNanos - lateNanos < MEMORY.toNanos();
        return !remembered && !held(nowNanos);
    }

    private boolean held(long nowNanos) {
        return expectedNanos != Long.MAX_VALUE && nowNanos - expectedNanos > LATE.toNanos();
    }
}
