package hyssopturn.admit;

import hyssopturn.model.Reason;

import java.time.Duration;

/** What a pool decided about a request. */
sealed interface Verdict {
    /** Returns the request. */
    Ticket ticket();

    /** The request starts now. */
    record Start(Ticket ticket) implements Verdict {}

    /** The request will not run. */
    record Refuse(Ticket ticket, Reason reason, Duration retryAfter) implements Verdict {}
}
