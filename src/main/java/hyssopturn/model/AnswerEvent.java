package hyssopturn.model;

import java.time.Duration;

/** One part of an answer, in order; the last part of every answer is an {@link End}. */
public sealed interface AnswerEvent {
    /**
     * A token of a generated answer.
     *
     * @param index index of the token, from 0 without gaps
     * @param text text of the token
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
     * @param outcome how the request ended
     * @param reason why it ended so
     * @param message human-readable detail
     * @param retryAfter delay after which a retry makes sense, zero if unknown
     */
    record End(Outcome outcome, Reason reason, String message, Duration retryAfter)
            implements AnswerEvent {

        /** Default delay before a retry. */
        private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

        /**
         * Returns the end of a complete answer.
         *
         * @return the end
         */
        public static End done() {
            return new End(Outcome.DONE, Reason.NONE, "", Duration.ZERO);
        }

        /**
         * Returns the end of a request that certainly did not run and never will.
         *
         * @param reason why it did not run
         * @param message human-readable detail
         * @return the end
         */
        public static End notRun(Reason reason, String message) {
            return new End(Outcome.NOT_RUN, reason, message, DEFAULT_RETRY_AFTER);
        }

        /**
         * Returns the end of a request that ran and failed.
         *
         * @param reason why it failed
         * @param message human-readable detail
         * @return the end
         */
        public static End failed(Reason reason, String message) {
            return new End(Outcome.FAILED, reason, message, Duration.ZERO);
        }

        /**
         * Returns the end of a request that may have run.
         *
         * @param message human-readable detail
         * @return the end
         */
        public static End unknown(String message) {
            return new End(Outcome.UNKNOWN, Reason.IN_DOUBT, message, Duration.ZERO);
        }
    }
}
