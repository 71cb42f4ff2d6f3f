package hyssopturn.relay;

import java.time.Duration;

/** Chooses when a repeatable request in progress is sent to another endpoint as well. */
final class HedgeDelay {
    /** Multiple of the route's target time after which an attempt is slow. */
    private static final int SLOW_TARGETS = 2;

    /** Part of the time left after which an attempt is slow, as a divisor. */
    private static final int TIME_LEFT_DIVISOR = 2;

    /** Least time before another endpoint is looked for again. */
    private static final Duration MIN_RECHECK = Duration.ofMillis(100);

    private HedgeDelay() {}

    /**
     * Returns the time after which an attempt is slow; another endpoint then has as much time.
     *
     * @param target target time of the route
     * @param left time left for the answer
     */
    static Duration first(Duration target, Duration left) {
        return min(target.multipliedBy(SLOW_TARGETS), part(left));
    }

    /**
     * Returns the time after which another endpoint is looked for again.
     *
     * @param last delay before this search, in which no endpoint could be tried
     * @param left time left for the answer
     */
    static Duration next(Duration last, Duration left) {
        Duration longer = last.multipliedBy(2).plus(MIN_RECHECK);
        Duration part = part(left);
        return min(longer, part.compareTo(MIN_RECHECK) < 0 ? MIN_RECHECK : part);
    }

    private static Duration part(Duration left) {
        return left.isNegative() ? Duration.ZERO : left.dividedBy(TIME_LEFT_DIVISOR);
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
