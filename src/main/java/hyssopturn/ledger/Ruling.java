package hyssopturn.ledger;

import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;

/** What the ledger says of a call. */
public sealed interface Ruling {
    /**
     * The asker owns the call and may send it, once.
     *
     * @param key the call
     * @param author process that claimed
     * @param number number of the claim among those of its author
     * @param sendBeforeNanos when it must have been sent, on the node's monotonic clock; later it
     *     must be given back
     */
    record Granted(CallKey key, String author, long number, long sendBeforeNanos)
            implements Ruling {}

    /**
     * The call has ended before.
     *
     * @param outcome how
     * @param body body of its answer, empty if it had none
     */
    record Recorded(Outcome outcome, Bytes body) implements Ruling {}

    /** Another asker owns the call and its outcome is not known. */
    record InDoubt() implements Ruling {}

    /** The key was used before with another body. */
    record Conflict() implements Ruling {}

    /**
     * The ledger cannot rule now; nothing was or will be sent.
     *
     * @param reason why
     * @param message detail for people
     */
    record Unavailable(Reason reason, String message) implements Ruling {}
}
