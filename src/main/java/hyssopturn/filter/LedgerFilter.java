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
import hyssopturn.port.Clock;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Claims calls that must not be repeated, and answers repeats from the ledger. */
public final class LedgerFilter implements Filter {
    /**
     * Maximum time that an answer is held back until its record is in the log. Once the record is
     * in the log, the loss of a node can't make the outcome unknown; if the log is slow, the caller
     * gets the answer without waiting for the record any longer.
     */
    private static final Duration RECORD_WAIT = Duration.ofMillis(250);

    private final Ledger ledger;
    private final Clock clock;
    private final EventRing events;

    /**
     * Creates the filter.
     *
     * @param ledger the ledger
     * @param clock clock for deadlines and timeouts
     * @param events records claims
     */
    public LedgerFilter(Ledger ledger, Clock clock, EventRing events) {
        this.ledger = ledger;
        this.clock = clock;
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
        long spent = clock.nanos() - exchange.arrivedNanos();
        Duration limit = exchange.workClass().target().first().minusNanos(spent);
        return Uni.createFrom()
                .completionStage(() -> ledger.claim(callKey, body, limit))
                .onItem()
                .transformToMulti(result -> answer(result, exchange, next));
    }

    private Multi<AnswerEvent> answer(Ruling result, Exchange exchange, Next next) {
        events.record(exchange.request(), new Detail.Claim(result.getClass().getSimpleName()));
        return switch (result) {
            case Ruling.Granted granted -> {
                exchange.maySend(() -> clock.nanos() < granted.sendBeforeNanos());
                yield settleAtEnd(granted, next.proceed(exchange));
            }
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

    private Multi<AnswerEvent> settleAtEnd(Ruling.Granted granted, Multi<AnswerEvent> answer) {
        return Multi.createFrom()
                .deferred(
                        () -> {
                            Settlement settlement = new Settlement(granted);
                            return answer.onFailure()
                                    .recoverWithItem(e -> End.unknown(String.valueOf(e)))
                                    .onItem()
                                    .transformToUniAndConcatenate(settlement::onEvent);
                        });
    }

    private final class Settlement {
        private final Ruling.Granted granted;
        private Bytes body = Bytes.EMPTY;

        Settlement(Ruling.Granted granted) {
            this.granted = granted;
        }

        Uni<AnswerEvent> onEvent(AnswerEvent event) {
            if (event instanceof AnswerEvent.Body(Bytes bytes)) {
                body = bytes;
            }
            if (event instanceof End end) {
                return Uni.createFrom().completionStage(() -> settle(end));
            }
            return Uni.createFrom().item(event);
        }

        private CompletableFuture<AnswerEvent> settle(End end) {
            CompletableFuture<AnswerEvent> answer = new CompletableFuture<>();
            CompletableFuture<Void> recorded = ledger.settle(granted, end, body);
            if (end.outcome() == Outcome.NOT_RUN) {
                answer.complete(end);
                return answer;
            }
            Clock.Timer timeout = clock.after(RECORD_WAIT, () -> answer.complete(end));
            recorded.whenComplete(
                    (ignored, error) -> {
                        timeout.cancel();
                        answer.complete(end);
                    });
            return answer;
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
