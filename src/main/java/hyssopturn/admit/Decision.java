package hyssopturn.admit;

import hyssopturn.model.Reason;

import java.time.Duration;

/** Decision of a pool about a request. */
sealed interface Decision {
    /** Returns the request that was decided. */
    Ticket ticket();

    /** The request starts now. */
    record Start(Ticket ticket) implements Decision {}

    /** The request is refused and will not run. */
    record Refuse(Ticket ticket, Reason reason, Duration retryAfter) implements Decision {}
}
