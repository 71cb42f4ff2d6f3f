package hyssopturn.ledger;

import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;

/** How far a claimed call has come. */
sealed interface Progress {
    /**
     * The call may run, may have run or may never run: nobody but its author knows.
     *
     * @param key the call
     * @param wallMillis wall time of the claim, for people, in milliseconds since 1970
     * @param doubtful true if the author itself does not know any more
     */
    record Open(CallKey key, long wallMillis, boolean doubtful) implements Progress {}

    /**
     * The call has run.
     *
     * @param outcome how it ended: done or failed
     * @param answer body of its answer, empty if it had none
     */
    record Ended(Outcome outcome, Bytes answer) implements Progress {}

    default boolean ended() {
        return this instanceof Ended;
    }

    /** Tells whether this says at least as much as the other, both of the same claim. */
    default boolean covers(Progress other) {
        return switch (other) {
            case Ended ended -> ended();
            case Open open -> !open.doubtful() || this instanceof Ended || doubtful();
        };
    }

    default boolean doubtful() {
        return this instanceof Open open && open.doubtful();
    }
}
