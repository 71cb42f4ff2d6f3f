package hyssopturn.filter;

import hyssopturn.model.AnswerEvent;

import io.smallrye.mutiny.Multi;

import java.util.List;

/** Filters in order. */
public final class FilterChain {
    private final List<Filter> filters;

    /**
     * Creates a chain.
     *
     * @param filters filters in order; the last one answers by itself
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
        return from(0, exchange);
    }

    private Multi<AnswerEvent> from(int index, Exchange exchange) {
        return filters.get(index).apply(exchange, x -> from(index + 1, x));
    }
}
