package hyssopturn.filter;

import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Reason;

import io.micrometer.core.instrument.MeterRegistry;
import io.smallrye.mutiny.Multi;

/** Turns a failure of the chain into a typed end, and counts and records the end of each answer. */
public final class OutcomeFilter implements Filter {
    private final EventRing events;
    private final MeterRegistry meters;

    /**
     * Creates the filter.
     *
     * @param events records ends
     * @param meters counts ends by outcome and reason
     */
    public OutcomeFilter(EventRing events, MeterRegistry meters) {
        this.events = events;
        this.meters = meters;
    }

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        return next.proceed(exchange)
                .onFailure()
                .recoverWithItem(e -> End.failed(Reason.INTERNAL, String.valueOf(e)))
                .onItem()
                .invoke(event -> recordEnd(exchange, event));
    }

    private void recordEnd(Exchange exchange, AnswerEvent event) {
        if (event instanceof End end) {
            events.record(
                    exchange.request(),
                    new Detail.Ended(end.outcome(), end.reason(), end.message()));
            meters.counter(
                            "hyssopturn.requests",
                            "outcome",
                            end.outcome().label(),
                            "reason",
                            end.reason().code())
                    .increment();
        }
    }
}
