package hyssopturn.filter;

import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Reason;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;

import io.smallrye.mutiny.Multi;

import java.util.Optional;

/** Finds the published class of the request and checks that the class accepts its input. */
public final class ClassFilter implements Filter {
    private final EventRing events;

    /**
     * Creates the filter.
     *
     * @param events records arrivals
     */
    public ClassFilter(EventRing events) {
        this.events = events;
    }

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        Optional<WorkClass> found = exchange.config().workClass(exchange.call().workClass());
        if (found.isEmpty()) {
            return Multi.createFrom()
                    .item(
                            End.notRun(
                                    Reason.UNKNOWN_CLASS,
                                    "no class " + exchange.call().workClass()));
        }
        if (!fits(found.get().work(), exchange.call().input())) {
            return Multi.createFrom()
                    .item(End.notRun(Reason.INVALID, "the class takes another kind of input"));
        }
        exchange.workClass(found.get());
        events.record(
                exchange.request(), new Detail.Arrived(exchange.account(), found.get().name()));
        return next.proceed(exchange);
    }

    private static boolean fits(Work work, Exchange.Input input) {
        return switch (work) {
            case Work.Generate generate -> input instanceof Exchange.Input.Text;
            case Work.Call call -> input instanceof Exchange.Input.Json;
        };
    }
}
