package hyssopturn.standin;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.model.RequestId;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.RefusedException;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Engine client that calls stand-in engines in this process, over links with a set delay. */
public final class LocalEngines implements EngineClient {
    private final Map<Address, FakeEngine> engines = new ConcurrentHashMap<>();
    private final Map<Address, Duration> delays = new ConcurrentHashMap<>();
    private final Map<Address, Boolean> silent = new ConcurrentHashMap<>();
    private final Clock clock;

    /**
     * Creates a client that knows no engine.
     *
     * @param clock time
     */
    public LocalEngines(Clock clock) {
        this.clock = clock;
    }

    /**
     * Adds an engine.
     *
     * @param at its address
     * @param engine the engine
     * @param delay delay of its link, one way
     */
    public void add(Address at, FakeEngine engine, Duration delay) {
        engines.put(at, engine);
        delays.put(at, delay);
    }

    /**
     * Changes the delay of a link.
     *
     * @param at address of the engine
     * @param delay delay of its link, one way
     */
    public void delay(Address at, Duration delay) {
        delays.put(at, delay);
    }

    /**
     * Kills an engine: calls under way stay in doubt, later ones are refused.
     *
     * @param at its address
     */
    public void remove(Address at) {
        engines.remove(at);
    }

    /**
     * Makes the link to an engine swallow everything, or heals it.
     *
     * @param at address of the engine
     * @param value true while it is silent
     */
    public void silent(Address at, boolean value) {
        silent.put(at, value);
    }

    @Override
    public CompletableFuture<StepResult> step(Address engine, Step step, Dial dial) {
        return over(engine, () -> engines.get(engine).step(step));
    }

    @Override
    public CompletableFuture<Void> cancel(Address engine, RequestId request, int attempt) {
        return over(
                engine,
                () -> {
                    engines.get(engine).cancel(request, attempt);
                    return CompletableFuture.completedFuture(null);
                });
    }

    @Override
    public CompletableFuture<KvState> exportKv(
            Address engine, RequestId request, LayerRange layers) {
        return over(
                engine,
                () ->
                        engines.get(engine)
                                .exportKv(request, layers)
                                .map(CompletableFuture::completedFuture)
                                .orElseGet(LocalEngines::notHeld));
    }

    private static CompletableFuture<KvState> notHeld() {
        return CompletableFuture.failedFuture(
                new RefusedException(RefusedException.Reason.NOT_HELD, "no such state"));
    }

    @Override
    public CompletableFuture<Void> importKv(
            Address engine, RequestId request, int attempt, KvState state) {
        return over(
                engine,
                () -> {
                    engines.get(engine).importKv(request, attempt, state);
                    return CompletableFuture.completedFuture(null);
                });
    }

    @Override
    public CompletableFuture<EngineReport> report(Address engine) {
        return over(engine, () -> CompletableFuture.completedFuture(engines.get(engine).report()));
    }

    @Override
    public CompletableFuture<Void> order(Address engine, Order order) {
        return over(
                engine,
                () -> {
                    engines.get(engine).order(order);
                    return CompletableFuture.completedFuture(null);
                });
    }

    private <T> CompletableFuture<T> over(Address to, Supplier<CompletableFuture<T>> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        FakeEngine target = engines.get(to);
        if (target == null) {
            answer.completeExceptionally(
                    new RefusedException(
                            RefusedException.Reason.UNREACHABLE, "nobody listens at " + to));
            return answer;
        }
        Duration delay = delays.get(to);
        clock.after(delay, () -> arrive(to, target, call, answer, delay));
        return answer;
    }

    private <T> void arrive(
            Address to,
            FakeEngine target,
            Supplier<CompletableFuture<T>> call,
            CompletableFuture<T> answer,
            Duration delay) {
        if (silent.getOrDefault(to, false)) {
            return;
        }
        if (engines.get(to) != target) {
            answer.completeExceptionally(new InDoubtException("connection to " + to + " broke"));
            return;
        }
        CompletableFuture<T> result;
        try {
            result = call.get();
        } catch (RefusedException e) {
            result = CompletableFuture.failedFuture(e);
        }
        result.whenComplete(
                (value, error) ->
                        clock.after(delay, () -> deliver(to, target, answer, value, error)));
    }

    private <T> void deliver(
            Address to, FakeEngine target, CompletableFuture<T> answer, T value, Throwable error) {
        if (silent.getOrDefault(to, false)) {
            return;
        }
        if (engines.get(to) != target) {
            answer.completeExceptionally(new InDoubtException("connection to " + to + " broke"));
        } else if (error != null) {
            answer.completeExceptionally(error);
        } else {
            answer.complete(value);
        }
    }
}
