package hyssopturn.filter;

import hyssopturn.model.AnswerEvent;

import io.smallrye.mutiny.Multi;

import java.util.List;

/** Applies filters to a request in order. */
public final class FilterChain {
    private final List<Filter> filters;

    /**
     * Creates a chain.
     *
     * @param filters filters in order; the last one must answer without calling the next
     */
    public FilterChain(List<Filter> filters) {
        this.filters = List.copyOf(filters);
    }

    /**
     * Handles a request.
     *
     * @param exchange the request
     * @return the answer
     */
    public Multi<AnswerEvent> handle(Exchange exchange) {
        return applyFrom(0, exchange);
    }

    private Multi<AnswerEvent> applyFrom(int index, Exchange exchange) {
        return filters.get(index).apply(exchange, passedOn -> applyFrom(index + 1, passedOn));
    }
}
