package hyssopturn.relay;

import java.time.Duration;
import java.util.Optional;

/** Chooses when a request is answered at the latest, so that its caller still gets the answer. */
final class AnswerTime {
    /** Part of the caller's deadline that is left for the way of the answer, as a divisor. */
    private static final int MARGIN_DIVISOR = 20;

    /** Maximum time that is left for the way of the answer to the caller. */
    private static final Duration MAX_MARGIN = Duration.ofMillis(50);

    private AnswerTime() {}

    /**
     * Returns the time after which a request is answered whatever its outcome. No caller leaves at
     * the route's timeout, so only the caller's own deadline needs a margin.
     *
     * @param routeTimeout timeout of the request's route
     * @param callerDeadline how long the caller waits, empty if it did not say
     */
    static Duration limit(Duration routeTimeout, Optional<Duration> callerDeadline) {
        return callerDeadline
                .map(deadline -> deadline.minus(margin(deadline)))
                .filter(limit -> limit.compareTo(routeTimeout) < 0)
                .orElse(routeTimeout);
    }

    private static Duration margin(Duration deadline) {
        Duration part = deadline.dividedBy(MARGIN_DIVISOR);
        return part.compareTo(MAX_MARGIN) < 0 ? part : MAX_MARGIN;
    }
}
