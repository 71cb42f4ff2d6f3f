package hyssopturn.relay;

import java.time.Duration;

/**
 * Decides which requests a node still accepts while it shuts down. Does no I/O; the caller passes
 * in the time.
 *
 * <p>A request that is refused at once has not run, and another node can serve it. One that is
 * accepted and still runs at the end of the grace period ends without its answer.
 *
 * @param acceptUntilNanos time after which no request is accepted
 * @param answersUntilNanos time at which requests without an answer are given up
 */
record DrainAdmission(long acceptUntilNanos, long answersUntilNanos) {
    /**
     * Factor by which a request may outlast its expected duration and must still end in time, if
     * neither the caller nor another node can continue it.
     */
    private static final double RUN_ONCE_MARGIN = 1.5;

    /**
     * The same for a request that another node can continue or repeat. Expected durations are
     * rough, and the node that a refused caller tries next may be stopping as well.
     */
    private static final double REPEATABLE_MARGIN = 1 / RUN_ONCE_MARGIN;

    /** Returns whether a node is so close to its exit that it accepts no request. */
    boolean over(long nowNanos) {
        return nowNanos > acceptUntilNanos;
    }

    /**
     * Returns whether a request can be expected to end before the node gives up its answers.
     *
     * @param expected expected duration of the request
     * @param timeout time limit of the request, which ends it by itself
     * @param repeatable false if the request must run at most once
     * @param nowNanos time now
     */
    boolean endsInTime(Duration expected, Duration timeout, boolean repeatable, long nowNanos) {
        double margin = repeatable ? REPEATABLE_MARGIN : RUN_ONCE_MARGIN;
        double longestNanos = Math.min(margin * expected.toNanos(), (double) timeout.toNanos());
        return longestNanos <= answersUntilNanos - nowNanos;
    }
}
