package hyssopturn.ledger;

import hyssopturn.log.LogFollower;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;
import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;
import hyssopturn.port.RefusedException;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Ledger on a stream of the log: the first claim of a call in the log owns it. */
public final class LogLedger implements Ledger {
    /** Stream of the log that holds claims and outcomes. */
    public static final String STREAM = "ledger";

    private final LogService log;
    private final Clock clock;
    private final Supplier<String> names;
    private final LogFollower follower;
    private final Map<CallKey, State> calls = new HashMap<>();
    private final Map<String, Waiter> waiters = new HashMap<>();
    private final Map<CallKey, List<CompletableFuture<Ruling>>> repeats = new HashMap<>();
    private boolean whole;

    private record State(String claim, int bodyHash, Optional<LedgerRecord.Settled> settled) {}

    private record Waiter(CallKey key, int bodyHash, CompletableFuture<Ruling> ruling) {}

    /**
     * Creates a ledger that has not started.
     *
     * @param log the log
     * @param clock time
     * @param names gives a new unique name for each claim
     */
    public LogLedger(LogService log, Clock clock, Supplier<String> names) {
        this.log = log;
        this.clock = clock;
        this.names = names;
        follower = new LogFollower(log, STREAM, clock, this::apply);
    }

    /** Starts reading. */
    public void start() {
        follower.start();
    }

    /** Stops reading. */
    public void stop() {
        follower.stop();
    }

    @Override
    public synchronized boolean ready() {
        return whole;
    }

    @Override
    public CompletableFuture<Ruling> claim(CallKey key, Bytes body, Duration limit) {
        String claim = names.get();
        CompletableFuture<Ruling> ruling = new CompletableFuture<>();
        synchronized (this) {
            if (!whole) {
                return CompletableFuture.completedFuture(
                        new Ruling.Unavailable(
                                Reason.LOG_UNAVAILABLE, "the ledger is not read whole yet"));
            }
            State state = calls.get(key);
            if (state != null) {
                return repeat(key, state, body.hashCode(), limit);
            }
            waiters.put(claim, new Waiter(key, body.hashCode(), ruling));
        }
        LedgerRecord record = new LedgerRecord.Claimed(key, claim, body.hashCode());
        log.append(STREAM, LedgerRecord.encode(record))
                .whenComplete((offset, error) -> appended(claim, error));
        clock.after(limit, () -> giveUp(key, claim));
        return ruling;
    }

    private CompletableFuture<Ruling> repeat(
            CallKey key, State state, int bodyHash, Duration limit) {
        CompletableFuture<Ruling> ruling = new CompletableFuture<>();
        if (state.bodyHash() != bodyHash || state.settled().isPresent()) {
            ruling.complete(ruling(state, bodyHash));
            return ruling;
        }
        repeats.computeIfAbsent(key, k -> new ArrayList<>()).add(ruling);
        clock.after(limit, () -> ruling.complete(new Ruling.InDoubt()));
        return ruling;
    }

    private void appended(String claim, Throwable error) {
        if (error instanceof RefusedException) {
            Waiter waiter;
            synchronized (this) {
                waiter = waiters.remove(claim);
            }
            if (waiter != null) {
                waiter.ruling()
                        .complete(
                                new Ruling.Unavailable(Reason.LOG_UNAVAILABLE, error.getMessage()));
            }
        }
    }

    private void giveUp(CallKey key, String claim) {
        Waiter waiter;
        synchronized (this) {
            waiter = waiters.remove(claim);
        }
        if (waiter != null) {
            log.append(STREAM, LedgerRecord.encode(new LedgerRecord.Released(key, claim)));
            waiter.ruling()
                    .complete(
                            new Ruling.Unavailable(
                                    Reason.LOG_UNAVAILABLE, "the log gave no answer in time"));
        }
    }

    @Override
    public CompletableFuture<Void> settle(Ruling.Granted grant, AnswerEvent.End end, Bytes body) {
        LedgerRecord record =
                end.outcome() == Outcome.NOT_RUN
                        ? new LedgerRecord.Released(grant.key(), grant.claim())
                        : new LedgerRecord.Settled(grant.key(), grant.claim(), end.outcome(), body);
        return log.append(STREAM, LedgerRecord.encode(record)).thenApply(offset -> null);
    }

    private void apply(LogPage page) {
        List<Runnable> rulings = new ArrayList<>();
        synchronized (this) {
            for (LogPage.Entry entry : page.records()) {
                LedgerRecord.decode(entry.data()).ifPresent(r -> apply(r, rulings));
            }
            whole |= page.next() >= page.end();
        }
        rulings.forEach(Runnable::run);
    }

    private void apply(LedgerRecord record, List<Runnable> rulings) {
        State state = calls.get(record.key());
        switch (record) {
            case LedgerRecord.Claimed claimed -> {
                if (state == null) {
                    state = new State(claimed.claim(), claimed.bodyHash(), Optional.empty());
                    calls.put(claimed.key(), state);
                }
                Waiter waiter = waiters.remove(claimed.claim());
                if (waiter != null) {
                    Ruling ruling =
                            state.claim().equals(claimed.claim())
                                    ? new Ruling.Granted(claimed.key(), claimed.claim())
                                    : ruling(state, waiter.bodyHash());
                    rulings.add(() -> waiter.ruling().complete(ruling));
                }
            }
            case LedgerRecord.Settled settled -> {
                if (state != null && state.claim().equals(settled.claim())) {
                    calls.put(
                            settled.key(),
                            new State(state.claim(), state.bodyHash(), Optional.of(settled)));
                    Ruling ruling = new Ruling.Recorded(settled.outcome(), settled.body());
                    rulings.add(() -> answerRepeats(settled.key(), ruling));
                }
            }
            case LedgerRecord.Released released -> {
                if (state != null && state.claim().equals(released.claim())) {
                    calls.remove(released.key());
                    Ruling ruling =
                            new Ruling.Unavailable(
                                    Reason.NO_ENDPOINT,
                                    "an earlier call with this key did not run");
                    rulings.add(() -> answerRepeats(released.key(), ruling));
                }
            }
        }
    }

    private void answerRepeats(CallKey key, Ruling ruling) {
        List<CompletableFuture<Ruling>> waiting;
        synchronized (this) {
            waiting = repeats.remove(key);
        }
        if (waiting != null) {
            waiting.forEach(w -> w.complete(ruling));
        }
    }

    private static Ruling ruling(State state, int bodyHash) {
        if (state.bodyHash() != bodyHash) {
            return new Ruling.Conflict();
        }
        return state.settled()
                .<Ruling>map(s -> new Ruling.Recorded(s.outcome(), s.body()))
                .orElseGet(Ruling.InDoubt::new);
    }
}
