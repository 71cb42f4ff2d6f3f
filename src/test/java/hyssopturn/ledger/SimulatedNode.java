package hyssopturn.ledger;

import hyssopturn.admit.RetryBudget;
import hyssopturn.event.EventRing;
import hyssopturn.event.HybridClock;
import hyssopturn.filter.AccountFilter;
import hyssopturn.filter.ClassFilter;
import hyssopturn.filter.Credentials;
import hyssopturn.filter.Exchange;
import hyssopturn.filter.FilterChain;
import hyssopturn.filter.LedgerFilter;
import hyssopturn.filter.RunFilter;
import hyssopturn.member.View;
import hyssopturn.model.Address;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.Instance;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;
import hyssopturn.port.RefusedException;
import hyssopturn.port.ServiceClient;
import hyssopturn.run.EndpointListener;
import hyssopturn.run.ServiceDriver;

import io.smallrye.mutiny.Multi;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** A node's path of calls, which can be frozen, woken and killed, as a process can. */
final class SimulatedNode implements Clock {
    private final Clock clock;
    private final LogService log;
    private final ServiceClient services;
    private final Flaw flaw;
    private final Queue<Runnable> held = new ArrayDeque<>();
    private final FilterChain filters;
    private boolean paused;
    private boolean pauseAtSend;
    private boolean dead;
    private Duration landLate = Duration.ZERO;
    final LogLedger ledger;

    SimulatedNode(
            String name,
            LedgerSettings settings,
            Clock clock,
            LogService log,
            ServiceClient services,
            View view,
            Flaw flaw) {
        this.clock = clock;
        this.log = log;
        this.services = services;
        this.flaw = flaw;
        SplittableRandom random = new SplittableRandom(name.hashCode());
        ledger = new LogLedger(name, settings, new NodeLog(), this, random);
        EventRing events = new EventRing(new InstanceId(name), new HybridClock(this), 10);
        ServiceDriver driver =
                new ServiceDriver(
                        new ServiceDriver.Dependencies(
                                this::send,
                                () -> view,
                                new RetryBudget(),
                                new NoEvidence(),
                                this,
                                random,
                                events));
        filters =
                new FilterChain(
                        List.of(
                                new AccountFilter(new Credentials(LedgerWorld.SECRET)),
                                new ClassFilter(events),
                                new LedgerFilter(flawed(), this, events),
                                new RunFilter(g -> Multi.createFrom().empty(), driver)));
        ledger.start();
    }

    /** Takes in nothing: the view of these nodes never changes. */
    private static final class NoEvidence implements EndpointListener {
        @Override
        public void onUnreachable(Instance endpoint) {}

        @Override
        public void onLeaving(Instance endpoint) {}
    }

    void handle(Exchange exchange, Consumer<AnswerEvent> receiver) {
        deliver(() -> filters.handle(exchange).subscribe().with(e -> ifAlive(receiver, e)));
    }

    private void ifAlive(Consumer<AnswerEvent> receiver, AnswerEvent event) {
        if (!dead) {
            receiver.accept(event);
        }
    }

    // ---- life

    void pause() {
        paused = true;
    }

    void pauseAtSend() {
        pauseAtSend = true;
    }

    void resume() {
        paused = false;
        pauseAtSend = false;
        while (!paused && !held.isEmpty()) {
            held.poll().run();
        }
    }

    void kill() {
        dead = true;
        held.clear();
        ledger.stop();
    }

    boolean alive() {
        return !dead;
    }

    void landLate(Duration by) {
        landLate = by;
    }

    private void deliver(Runnable task) {
        if (dead) {
            return;
        }
        if (paused) {
            held.add(task);
        } else {
            task.run();
        }
    }

    // ---- time

    @Override
    public long nanos() {
        return clock.nanos();
    }

    @Override
    public long wallMillis() {
        return clock.wallMillis();
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        return clock.after(delay, () -> deliver(task));
    }

    // ---- services

    private CompletableFuture<ServiceClient.ServiceAnswer> send(
            Address to, ServiceClient.ServiceCall call, Dial dial) {
        CompletableFuture<ServiceClient.ServiceAnswer> answer = new CompletableFuture<>();
        if (pauseAtSend) {
            pauseAtSend = false;
            paused = true;
        }
        deliver(() -> sendNow(to, call, answer));
        return answer;
    }

    private void sendNow(
            Address to,
            ServiceClient.ServiceCall call,
            CompletableFuture<ServiceClient.ServiceAnswer> answer) {
        services.call(to, call, Dial.POOLED)
                .whenComplete(
                        (result, error) -> deliver(() -> end(to, call, answer, result, error)));
    }

    private void end(
            Address to,
            ServiceClient.ServiceCall call,
            CompletableFuture<ServiceClient.ServiceAnswer> answer,
            ServiceClient.ServiceAnswer result,
            Throwable error) {
        if (error == null) {
            answer.complete(result);
        } else if (error instanceof InDoubtException && flaw == Flaw.SENT_AGAIN) {
            sendNow(to, call, answer);
        } else if (error instanceof InDoubtException && flaw == Flaw.LOST_CALL_REFUSED) {
            answer.completeExceptionally(refused());
        } else {
            answer.completeExceptionally(error);
        }
    }

    private static RefusedException refused() {
        return new RefusedException(RefusedException.Reason.UNREACHABLE, "seeded fault");
    }

    // ---- the log

    private final class NodeLog implements LogService {
        @Override
        public CompletableFuture<Long> append(String stream, Bytes data) {
            CompletableFuture<Long> answer = new CompletableFuture<>();
            Bytes sent = flawed(data);
            if (landLate.isZero()) {
                log.append(stream, sent)
                        .whenComplete((o, e) -> deliver(() -> complete(answer, o, e)));
            } else {
                clock.after(landLate, () -> log.append(stream, sent));
                landLate = Duration.ZERO;
                complete(answer, null, new InDoubtException("connection broke"));
            }
            return answer;
        }

        private void complete(CompletableFuture<Long> answer, Long offset, Throwable error) {
            if (error == null) {
                answer.complete(offset);
            } else if (flaw == Flaw.LOST_APPEND_REFUSED) {
                answer.completeExceptionally(refused());
            } else {
                answer.completeExceptionally(error);
            }
        }

        @Override
        public CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
            CompletableFuture<LogPage> answer = new CompletableFuture<>();
            log.read(stream, from, max, wait)
                    .whenComplete(
                            (page, e) ->
                                    deliver(
                                            () -> {
                                                if (e == null) {
                                                    answer.complete(flawed(page, from));
                                                } else {
                                                    answer.completeExceptionally(e);
                                                }
                                            }));
            return answer;
        }
    }

    // ---- seeded faults

    private LogPage flawed(LogPage page, long from) {
        return flaw == Flaw.RETENTION_IGNORED
                ? new LogPage(1, Math.max(from, page.next()), page.end(), page.records())
                : page;
    }

    private Bytes flawed(Bytes data) {
        if (flaw != Flaw.RELEASE_FORGOTTEN && flaw != Flaw.RETENTION_IGNORED) {
            return data;
        }
        Batch batch = BatchCodec.decode(data).orElseThrow();
        List<LedgerEntry> entries = new ArrayList<>(batch.entries());
        entries.removeIf(
                e ->
                        flaw == Flaw.RELEASE_FORGOTTEN
                                ? e instanceof LedgerEntry.Released
                                : e instanceof LedgerEntry.Carried);
        return BatchCodec.encode(
                new Batch(
                        batch.author(),
                        batch.sequence(),
                        batch.timeMillis(),
                        batch.readTo(),
                        batch.floor(),
                        entries));
    }

    private Ledger flawed() {
        return switch (flaw) {
            case TIMER_TAKEOVER, UNCONFIRMED_SENT -> new FlawedLedger(ledger, this, flaw);
            default -> ledger;
        };
    }
}
