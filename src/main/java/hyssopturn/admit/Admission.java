package hyssopturn.admit;

import hyssopturn.model.AccountId;
import hyssopturn.model.RequestId;
import hyssopturn.model.WorkClass;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Admission control: decides when a request may run, or refuses it. */
public interface Admission {
    /**
     * Requests a permit to run a request.
     *
     * @param request the request to admit
     * @return a permit once the request may run; fails with {@link AdmissionRefusedException} if it
     *     is refused, in which case nothing was sent to any endpoint
     */
    CompletableFuture<Permit> admit(Request request);

    /**
     * Request that needs admission.
     *
     * @param id id of the request
     * @param account account of the caller
     * @param workClass class of the request
     * @param promptTokens number of tokens of the prompt, 0 for a service
     * @param maxTokens greatest number of tokens of the answer, 0 for a service
     * @param arrivedNanos arrival time on the node's monotonic clock, in nanoseconds
     */
    record Request(
            RequestId id,
            AccountId account,
            WorkClass workClass,
            int promptTokens,
            int maxTokens,
            long arrivedNanos) {}

    /** Permission to run one request. */
    interface Permit {
        /** Records the first part of the answer. */
        void firstPart();

        /** Records each further part of the answer. */
        default void nextPart() {}

        /**
         * Releases the permit.
         *
         * @param usage how the request ended and how much was generated
         */
        void release(Usage usage);
    }

    /**
     * Result of an admitted request.
     *
     * @param ran true if an endpoint ran it
     * @param tokens number of tokens generated
     * @param total time from admission to the end of the request
     */
    record Usage(boolean ran, int tokens, Duration total) {}
}
