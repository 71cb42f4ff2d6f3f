package hyssopturn.ledger;

import com.google.common.flogger.FluentLogger;

import hyssopturn.helper.Causes;
import hyssopturn.log.LogFollower;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;
import hyssopturn.port.RefusedException;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/**
 * Ledger on a stream of the log: the first claim of a call in the log owns it.
 *
 * <p>Carries out what {@link LedgerCore} decides. Actions are taken after the lock is left.
 */
public final class LogLedger implements Ledger {
    /** Stream of the log that holds claims and outcomes. */
    public static final String STREAM = "ledger";

    /**
     * Greatest answer that is kept for repeats, in bytes; of a larger one only the size is kept.
     */
    public static final int MAX_ANSWER = 16 << 10;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final LogService log;
    private final Clock clock;
    private final LogFollower follower;
    private final LedgerCore core;
    private final long originNanos;
    private final Map<Long, CompletableFuture<Ruling>> asks = new HashMap<>();
    private final Map<ClaimId, CompletableFuture<Void>> settlements = new HashMap<>();
    private final List<CompletableFuture<Void>> flushes = new ArrayList<>();
    private Clock.Timer timer = () -> {};
    private long timerNanos = Long.MAX_VALUE;
    private long asked;
    private boolean wasWhole;
    private boolean stopped;

    /**
     * Creates a ledger that has not started.
     *
     * @param author name of this process, never used before or again by any other
     * @param settings settings, the same at all nodes
     * @param log the log
     * @param clock time
     * @param random spreads retries
     */
    public LogLedger(
            String author,
            LedgerSettings settings,
            LogService log,
            Clock clock,
            RandomGenerator random) {
        this.log = log;
        this.clock = clock;
        originNanos = clock.nanos();
        core = new LedgerCore(author, settings, random);
        follower = new LogFollower(log, STREAM, clock, this::read);
    }

    /** Starts reading. */
    public void start() {
        follower.start();
    }

    /** Stops reading and writing at once; what is not in the log yet is lost. */
    public void stop() {
        follower.stop();
        synchronized (this) {
            stopped = true;
            timer.cancel();
        }
    }

    @Override
    public synchronized boolean ready() {
        return core.whole();
    }

    @Override
    public CompletableFuture<Ruling> claim(CallKey key, Bytes body, Duration limit) {
        CompletableFuture<Ruling> ruling = new CompletableFuture<>();
        Fingerprint print = Fingerprint.of(body);
        boolean readable = follower.healthy();
        long wall = clock.wallMillis();
        on(
                now -> {
                    long id = ++asked;
                    asks.put(id, ruling);
                    core.readable(readable);
                    return core.claim(id, key, print, wall, now + limit.toNanos(), now);
                });
        return ruling;
    }

    @Override
    public CompletableFuture<Void> settle(Ruling.Granted grant, AnswerEvent.End end, Bytes body) {
        CompletableFuture<Void> stored = new CompletableFuture<>();
        ClaimId claim = new ClaimId(grant.author(), grant.number());
        on(
                now -> {
                    settlements.put(claim, stored);
                    return core.settle(claim, end.outcome(), kept(body), now);
                });
        return stored;
    }

    private static Bytes kept(Bytes body) {
        return body.size() <= MAX_ANSWER
                ? body
                : Bytes.utf8("{\"answer\":\"not kept\",\"bytes\":" + body.size() + "}");
    }

    @Override
    public synchronized List<InDoubtCall> inDoubt(Duration minAge) {
        return core.inDoubt(minAge, now());
    }

    /**
     * Waits until everything that was settled is in the log.
     *
     * @return completes when nothing waits to be appended
     */
    public CompletableFuture<Void> flush() {
        CompletableFuture<Void> flushed = new CompletableFuture<>();
        on(
                now -> {
                    flushes.add(flushed);
                    return core.tick(now);
                });
        return flushed;
    }

    @Override
    public synchronized int size() {
        return core.size();
    }

    private void read(LogPage page) {
        List<LedgerCore.Read> records =
                page.records().stream()
                        .map(e -> new LedgerCore.Read(e.offset(), BatchCodec.decode(e.data())))
                        .toList();
        on(now -> core.read(page, records, now));
    }

    private void on(LongFunction<List<LedgerAction>> event) {
        List<Runnable> tasks = new ArrayList<>();
        synchronized (this) {
            if (stopped) {
                return;
            }
            for (LedgerAction action : event.apply(now())) {
                tasks.add(task(action));
            }
            if (core.idle()) {
                List<CompletableFuture<Void>> done = List.copyOf(flushes);
                flushes.clear();
                tasks.add(() -> done.forEach(f -> f.complete(null)));
            }
            noteState();
            schedule();
        }
        tasks.forEach(Runnable::run);
    }

    private long now() {
        return clock.nanos() - originNanos;
    }

    private Runnable task(LedgerAction action) {
        return switch (action) {
            case LedgerAction.Append(Batch batch, long attempt) -> () -> append(batch, attempt);
            case LedgerAction.Rule(long id, Ruling ruling) -> {
                CompletableFuture<Ruling> asker = asks.remove(id);
                yield () -> asker.complete(absolute(ruling));
            }
            case LedgerAction.Stored(ClaimId claim) -> {
                CompletableFuture<Void> stored = settlements.remove(claim);
                yield () -> stored.complete(null);
            }
        };
    }

    private Ruling absolute(Ruling ruling) {
        return ruling instanceof Ruling.Granted(var key, var author, var number, var before)
                ? new Ruling.Granted(key, author, number, before + originNanos)
                : ruling;
    }

    private void append(Batch batch, long attempt) {
        log.append(STREAM, BatchCodec.encode(batch))
                .whenComplete(
                        (offset, error) -> {
                            Throwable cause = Causes.unwrap(error);
                            if (cause == null) {
                                on(now -> core.appended(batch.sequence(), now));
                            } else if (cause instanceof RefusedException) {
                                on(now -> core.refused(attempt, now));
                            } else {
                                on(now -> core.doubted(attempt, now));
                            }
                        });
    }

    private void noteState() {
        if (core.whole() != wasWhole) {
            wasWhole = core.whole();
            logger.atInfo().log(
                    "ledger=%s keys=%d", wasWhole ? "whole" : "records-missed", core.size());
        }
    }

    private void schedule() {
        long due = core.dueNanos(now()).orElse(Long.MAX_VALUE);
        if (due == Long.MAX_VALUE || due >= timerNanos) {
            return;
        }
        timer.cancel();
        timerNanos = due;
        timer = clock.after(Duration.ofNanos(Math.max(0, due - now())), this::tick);
    }

    private void tick() {
        synchronized (this) {
            timerNanos = Long.MAX_VALUE;
        }
        on(core::tick);
    }
}
