package hyssopturn.run;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.model.RequestId;
import hyssopturn.port.EngineClient;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.RefusedException;
import hyssopturn.standin.FakeEngine;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** Client of simulated engines whose processes, links and connections fail on request. */
final class FaultyEngines implements EngineClient {
    private final Map<Address, Host> hosts = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final VirtualClock clock;
    private final RandomGenerator random;

    FaultyEngines(VirtualClock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    /** A step or a state import that was delivered to an engine. */
    record Arrival(Address engine, RequestId request, long nanos) {}

    static final class Host {
        final FakeEngine engine;
        final Duration delay;
        boolean dead;
        boolean frozen;
        boolean cut;
        boolean pooledSilent;
        boolean jitter;
        int requestsToLose;
        int answersToLose;
        final List<Runnable> heldCalls = new ArrayList<>();
        final List<CompletableFuture<?>> openCalls = new ArrayList<>();

        Host(FakeEngine engine, Duration delay) {
            this.engine = engine;
            this.delay = delay;
        }
    }

    void add(Address address, FakeEngine engine, Duration delay) {
        hosts.put(address, new Host(engine, delay));
    }

    Host host(Address address) {
        return hosts.get(address);
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    void kill(Address address) {
        Host host = hosts.get(address);
        host.dead = true;
        host.heldCalls.clear();
        List<CompletableFuture<?>> broken = List.copyOf(host.openCalls);
        host.openCalls.clear();
        if (!host.cut && !host.pooledSilent) {
            broken.forEach(
                    f ->
                            clock.after(
                                    host.delay,
                                    () -> f.completeExceptionally(new InDoubtException("reset"))));
        }
    }

    void thaw(Address address) {
        Host host = hosts.get(address);
        host.frozen = false;
        List<Runnable> late = List.copyOf(host.heldCalls);
        host.heldCalls.clear();
        late.forEach(Runnable::run);
    }

    @Override
    public CompletableFuture<StepResult> step(Address engine, Step step, Dial dial) {
        return callOverLink(
                engine,
                dial,
                host -> {
                    arrivals.add(new Arrival(engine, step.request(), clock.nanos()));
                    return host.engine.step(step);
                });
    }

    @Override
    public CompletableFuture<Void> cancel(Address engine, RequestId request, int attempt) {
        return callOverLink(
                engine,
                Dial.POOLED,
                host -> {
                    host.engine.cancel(request, attempt);
                    return CompletableFuture.completedFuture(null);
                });
    }

    @Override
    public CompletableFuture<KvState> exportKv(
            Address engine, RequestId request, LayerRange layers) {
        return callOverLink(
                engine,
                Dial.POOLED,
                host -> {
                    Optional<KvState> state = host.engine.exportKv(request, layers);
                    return state.map(CompletableFuture::completedFuture)
                            .orElseGet(
                                    () ->
                                            CompletableFuture.failedFuture(
                                                    new RefusedException(
                                                            RefusedException.Reason.NOT_HELD,
                                                            "no such state")));
                });
    }

    @Override
    public CompletableFuture<Void> importKv(
            Address engine, RequestId request, int attempt, KvState state) {
        return callOverLink(
                engine,
                Dial.POOLED,
                host -> {
                    arrivals.add(new Arrival(engine, request, clock.nanos()));
                    host.engine.importKv(request, attempt, state);
                    return CompletableFuture.completedFuture(null);
                });
    }

    @Override
    public CompletableFuture<EngineReport> report(Address engine) {
        return CompletableFuture.completedFuture(hosts.get(engine).engine.report());
    }

    @Override
    public CompletableFuture<Void> order(Address engine, Order order) {
        throw new UnsupportedOperationException();
    }

    private <T> CompletableFuture<T> callOverLink(
            Address to, Dial dial, Function<Host, CompletableFuture<T>> call) {
        Host host = hosts.get(to);
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (dial == Dial.FRESH && !host.cut) {
            host.pooledSilent = false;
        }
        if (host.dead && !host.cut) {
            clock.after(host.delay, () -> answer.completeExceptionally(unreachable(to)));
            return answer;
        }
        host.openCalls.add(answer);
        boolean lost =
                host.cut || (host.pooledSilent && random.nextBoolean()) || losesRequest(host);
        if (!lost) {
            clock.after(delay(host), () -> arrive(host, call, answer));
        }
        return answer;
    }

    private static boolean losesRequest(Host host) {
        boolean lose = host.requestsToLose > 0;
        host.requestsToLose -= lose ? 1 : 0;
        return lose;
    }

    private Duration delay(Host host) {
        int factor = host.jitter ? random.nextInt(1, 40) : 1;
        return host.delay.multipliedBy(factor);
    }

    private static RefusedException unreachable(Address to) {
        return new RefusedException(
                RefusedException.Reason.UNREACHABLE, "no process listens at " + to);
    }

    private <T> void arrive(
            Host host, Function<Host, CompletableFuture<T>> call, CompletableFuture<T> answer) {
        if (host.dead || host.cut) {
            return;
        }
        if (host.frozen) {
            host.heldCalls.add(() -> arrive(host, call, answer));
            return;
        }
        call.apply(host).whenComplete((value, error) -> sendAnswer(host, answer, value, error));
    }

    private <T> void sendAnswer(Host host, CompletableFuture<T> answer, T value, Throwable error) {
        if (host.frozen) {
            host.heldCalls.add(() -> sendAnswer(host, answer, value, error));
            return;
        }
        if (host.dead || host.cut || host.pooledSilent) {
            return;
        }
        if (host.answersToLose > 0) {
            host.answersToLose--;
            return;
        }
        clock.after(delay(host), () -> deliver(host, answer, value, error));
    }

    private <T> void deliver(Host host, CompletableFuture<T> answer, T value, Throwable error) {
        if (host.cut || host.dead) {
            return;
        }
        host.openCalls.removeIf(f -> f == answer);
        if (error != null) {
            answer.completeExceptionally(error);
        } else {
            answer.complete(value);
        }
    }
}
