package hyssopturn.admit;

import hyssopturn.model.AccountId;
import hyssopturn.model.RequestId;
import hyssopturn.model.WorkClass;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Decides when a request may run, or that it may not. */
public interface Admission {
    /**
     * Asks for leave to run a request.
     *
     * @param ask what is to run
     * @return the permit once it may run; fails with {@link AdmissionRefusedException} if it will
     *     not, in which case nothing was sent anywhere
     */
    CompletableFuture<Permit> admit(Ask ask);

    /**
     * What is to run.
     *
     * @param request the request
     * @param account account of the caller
     * @param workClass class of the work
     * @param promptTokens number of tokens of the prompt, 0 for a service
     * @param maxTokens greatest number of tokens of the answer, 0 for a service
     * @param arrivedNanos when it arrived, on the node's monotonic clock
     */
    record Ask(
            RequestId request,
            AccountId account,
            WorkClass workClass,
            int promptTokens,
            int maxTokens,
            long arrivedNanos) {}

    /** Leave to run one request. */
    interface Permit {
        /** Notes the first part of the answer. */
        void first();

        /** Notes each further part of the answer. */
        default void part() {}

        /**
         * Gives the permit back.
         *
         * @param use what became of it
         */
        void release(Use use);
    }

    /**
     * What became of an admitted request.
     *
     * @param ran true if an endpoint ran it
     * @param tokens number of tokens generated
     * @param total time from admission to the end
     */
    record Use(boolean ran, int tokens, Duration total) {}
}
