package hyssopturn.model;

import java.time.Duration;

/** One part of an answer, in order; the last part of every answer is an {@link End}. */
public sealed interface AnswerEvent {
    /**
     * A token of a generated answer.
     *
     * @param index its number, from 0 without gaps
     * @param text its text
     */
    record Token(int index, String text) implements AnswerEvent {}

    /**
     * The answer of a service.
     *
     * @param body body as JSON
     */
    record Body(Bytes body) implements AnswerEvent {}

    /**
     * The end of the answer.
     *
     * @param outcome how it ended
     * @param reason why
     * @param message detail for people
     * @param retryAfter when it makes sense to try again, zero if that is unknown
     */
    record End(Outcome outcome, Reason reason, String message, Duration retryAfter)
            implements AnswerEvent {

        /** Delay before a retry when nothing better is known. */
        private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

        /**
         * Ends a whole answer.
         *
         * @return the end
         */
        public static End done() {
            return new End(Outcome.DONE, Reason.NONE, "", Duration.ZERO);
        }

        /**
         * Ends a request that certainly did not run and never will.
         *
         * @param reason why
         * @param message detail for people
         * @return the end
         */
        public static End notRun(Reason reason, String message) {
            return new End(Outcome.NOT_RUN, reason, message, RETRY_AFTER);
        }

        /**
         * Ends a request that ran and failed.
         *
         * @param reason why
         * @param message detail for people
         * @return the end
         */
        public static End failed(Reason reason, String message) {
            return new End(Outcome.FAILED, reason, message, Duration.ZERO);
        }

        /**
         * Ends a request that may have run.
         *
         * @param message detail for people
         * @return the end
         */
        public static End unknown(String message) {
            return new End(Outcome.UNKNOWN, Reason.IN_DOUBT, message, Duration.ZERO);
        }
    }
}
