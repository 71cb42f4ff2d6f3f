package hyssopturn.filter;

import hyssopturn.model.AnswerEvent;

import io.smallrye.mutiny.Multi;

/** One step in the handling of a request. */
@FunctionalInterface
public interface Filter {
    /**
     * Handles a request, itself or by passing it on.
     *
     * @param exchange the request
     * @param next the filters after this one
     * @return the answer
     */
    Multi<AnswerEvent> apply(Exchange exchange, Next next);

    /** The filters that come after one. */
    @FunctionalInterface
    interface Next {
        /**
         * Passes a request on.
         *
         * @param exchange the request
         * @return the answer
         */
        Multi<AnswerEvent> proceed(Exchange exchange);
    }
}
