package hyssopturn.filter;

import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.ledger.CallKey;
import hyssopturn.ledger.Ledger;
import hyssopturn.ledger.Ruling;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;
import hyssopturn.model.Work;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

import java.time.Duration;
import java.util.Optional;

/** Claims calls that must not be repeated, and answers repeats from the ledger. */
public final class LedgerFilter implements Filter {
    private final Ledger ledger;
    private final EventRing events;

    /**
     * Creates the filter.
     *
     * @param ledger the ledger
     * @param events records claims
     */
    public LedgerFilter(Ledger ledger, EventRing events) {
        this.ledger = ledger;
        this.events = events;
    }

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        if (!(exchange.workClass().work() instanceof Work.Call call) || call.repeatable()) {
            return next.proceed(exchange);
        }
        Optional<String> key = exchange.call().key().filter(k -> !k.isBlank());
        if (key.isEmpty()) {
            return Multi.createFrom()
                    .item(End.notRun(Reason.KEY_REQUIRED, "give an Idempotency-Key"));
        }
        CallKey callKey = new CallKey(exchange.account(), exchange.workClass().name(), key.get());
        Bytes body = ((Exchange.Input.Json) exchange.call().input()).body();
        Duration limit = exchange.workClass().target().first();
        return Uni.createFrom()
                .completionStage(() -> ledger.claim(callKey, body, limit))
                .onItem()
                .transformToMulti(ruling -> rule(ruling, exchange, next));
    }

    private Multi<AnswerEvent> rule(Ruling ruling, Exchange exchange, Next next) {
        events.record(exchange.request(), new Detail.Claim(ruling.getClass().getSimpleName()));
        return switch (ruling) {
            case Ruling.Granted granted -> settling(granted, next.proceed(exchange));
            case Ruling.Recorded(Outcome outcome, Bytes body) -> replay(outcome, body);
            case Ruling.InDoubt() ->
                    Multi.createFrom().item(End.unknown("an earlier call with this key may run"));
            case Ruling.Conflict() ->
                    Multi.createFrom()
                            .item(
                                    End.notRun(
                                            Reason.KEY_CONFLICT,
                                            "the key was used with another body"));
            case Ruling.Unavailable(Reason reason, String message) ->
                    Multi.createFrom().item(End.notRun(reason, message));
        };
    }

    private Multi<AnswerEvent> settling(Ruling.Granted granted, Multi<AnswerEvent> answer) {
        return Multi.createFrom()
                .deferred(
                        () -> {
                            Settlement settlement = new Settlement(granted);
                            return answer.onItem().transformToUniAndConcatenate(settlement::on);
                        });
    }

    private final class Settlement {
        private final Ruling.Granted granted;
        private Bytes body = Bytes.EMPTY;

        Settlement(Ruling.Granted granted) {
            this.granted = granted;
        }

        Uni<AnswerEvent> on(AnswerEvent event) {
            if (event instanceof AnswerEvent.Body(Bytes given)) {
                body = given;
            }
            if (event instanceof End end) {
                ledger.settle(granted, end, body);
            }
            return Uni.createFrom().item(event);
        }
    }

    private static Multi<AnswerEvent> replay(Outcome outcome, Bytes body) {
        return switch (outcome) {
            case DONE -> Multi.createFrom().items(new AnswerEvent.Body(body), End.done());
            case FAILED ->
                    Multi.createFrom().item(End.failed(Reason.ENDPOINT_FAILED, "it failed before"));
            case NOT_RUN, UNKNOWN ->
                    Multi.createFrom().item(End.unknown("an earlier call may have run"));
        };
    }
}
