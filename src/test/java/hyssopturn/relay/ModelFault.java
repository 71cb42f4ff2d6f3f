package hyssopturn.relay;

/** A rule of streams that {@link StreamModel} found broken. */
final class ModelFault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    ModelFault(Kind kind, String detail) {
        super(kind + ": " + detail);
        this.kind = kind;
    }

    /** The rules. */
    enum Kind {
        /** The caller was sent an event twice, or out of order. */
        EVENT_TWICE_OR_OUT_OF_ORDER,
        /** A stream was completed without all events. */
        EVENTS_MISSING,
        /** An attempt is open after the end of its stream, or unknown to the stream. */
        ATTEMPT_LEFT_OPEN,
        /** More than two attempts of a stream are open. */
        TOO_MANY_OPEN,
        /** More retries arrived at engines than the budget allows. */
        BUDGET_EXCEEDED,
        /** A request was sent to more engines than its route allows. */
        MAX_ATTEMPTS_EXCEEDED,
        /**
         * A stream was ended although a listed engine would still finish it: it had the request
         * until it was cancelled, and no other one has delivered since.
         */
        ENDED_THOUGH_RUNNING,
        /** A stream that began was ended although a listed engine could still be tried. */
        ENDED_THOUGH_POSSIBLE,
        /** A stream did not end although all engines were sound again. */
        STUCK
    }

    Kind kind() {
        return kind;
    }
}
