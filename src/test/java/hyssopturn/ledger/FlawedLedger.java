package hyssopturn.ledger;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Ledger that grants what the log did not. */
final class FlawedLedger implements Ledger {
    private static final Duration MUCH = Duration.ofDays(1);

    private final Ledger ledger;
    private final Clock clock;
    private final Flaw flaw;

    FlawedLedger(Ledger ledger, Clock clock, Flaw flaw) {
        this.ledger = ledger;
        this.clock = clock;
        this.flaw = flaw;
    }

    @Override
    public CompletableFuture<Ruling> claim(CallKey key, Bytes body, Duration limit) {
        return ledger.claim(key, body, limit).thenApply(r -> wrong(r) ? granted(key) : r);
    }

    private boolean wrong(Ruling ruling) {
        return switch (flaw) {
            case TIMER_TAKEOVER -> ruling instanceof Ruling.InDoubt;
            case UNCONFIRMED_SENT ->
                    ruling instanceof Ruling.Unavailable(var reason, var message)
                            && message.contains("in time");
            default -> false;
        };
    }

    private Ruling granted(CallKey key) {
        return new Ruling.Granted(key, "taken over", 1, clock.nanos() + MUCH.toNanos());
    }

    @Override
    public CompletableFuture<Void> settle(Ruling.Granted grant, AnswerEvent.End end, Bytes body) {
        return ledger.settle(grant, end, body);
    }

    @Override
    public List<InDoubtCall> inDoubt(Duration minAge) {
        return ledger.inDoubt(minAge);
    }

    @Override
    public int size() {
        return ledger.size();
    }

    @Override
    public boolean ready() {
        return ledger.ready();
    }
}
