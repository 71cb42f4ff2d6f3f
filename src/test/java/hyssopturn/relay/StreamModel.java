package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.relay.RetryBudget.AnswerState;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Two streams at three engines, which share a retry budget of two, run step by step in virtual
 * time. After each step the rules of {@link ModelFault} are checked.
 */
final class StreamModel implements StreamWorld {
    static final int ENGINES = 3;
    static final int STREAMS = 2;

    private static final String SERVICE = "writers";
    private static final int BUDGET = 2;
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(40).toNanos();

    /** Step of time, long enough for one search of each stream that waits. */
    private static final long TICK_NANOS = RetryQueue.SEARCH_INTERVAL.toNanos();

    /** Time in which the budget returns in full and both streams can be finished. */
    private static final long HEAL_NANOS = 2 * WINDOW_NANOS;

    /** Part of the budget that nodes use; the budget is made larger, so that two are left. */
    private static final double USED_PART = 0.8;

    private final StreamWorld.Rule rule;
    private final RetryBudget budget = new RetryBudget(0, WINDOW_NANOS, BUDGET / USED_PART, 1);
    private final RetryQueue queue = new RetryQueue();
    private final List<ModelEngine> engines =
            IntStream.range(0, ENGINES)
                    .mapToObj(i -> new ModelEngine(this, i, i == ENGINES - 1))
                    .toList();
    private final List<ModelStream> streams = new ArrayList<>();
    private final Queue<Runnable> pending = new ArrayDeque<>();
    private final Set<ModelStream> sent = new HashSet<>();
    private final List<Long> retries = new ArrayList<>();
    private final Map<ModelStream, List<Endpoint>> received = new HashMap<>();
    private long now;
    private int choices;

    /** Creates sound engines, and streams that were just sent to one each. */
    StreamModel(StreamWorld.Rule rule) {
        this.rule = rule;
        for (int i = 0; i < STREAMS; i++) {
            streams.add(new ModelStream(this, TIMEOUT_NANOS));
        }
        streams.forEach(ModelStream::startAttempt);
        settle();
    }

    @Override
    public StreamWorld.Rule rule() {
        return rule;
    }

    @Override
    public long now() {
        return now;
    }

    List<ModelStream> streams() {
        return List.copyOf(streams);
    }

    /** Runs a step, and checks the rules; returns false if the step does not apply. */
    boolean run(ModelStep step) {
        boolean applied = apply(step);
        settle();
        check();
        return applied;
    }

    private boolean apply(ModelStep step) {
        return switch (step) {
            case ModelStep.Silence(int e) -> silence(engines.get(e));
            case ModelStep.GoOn(int e) -> goOn(engines.get(e));
            case ModelStep.Refusal(int e) -> refuse(engines.get(e));
            case ModelStep.Event(int e, int s) -> sendEvent(engines.get(e), streams.get(s));
            case ModelStep.End(int e, int s) -> end(engines.get(e), streams.get(s));
            case ModelStep.Change(int e) -> change(engines.get(e));
            case ModelStep.Stop(int e) -> stop(engines.get(e));
            case ModelStep.Leave(int s) -> leave(streams.get(s));
            case ModelStep.Pass(Duration time) -> pass(time.toNanos());
        };
    }

    private boolean silence(ModelEngine engine) {
        engine.silence();
        streams.forEach(stream -> stream.suspect(engine));
        return true;
    }

    private static boolean goOn(ModelEngine engine) {
        boolean silent = engine.silent();
        engine.goOn();
        return silent;
    }

    private static boolean change(ModelEngine engine) {
        engine.changeListing();
        return true;
    }

    private static boolean refuse(ModelEngine engine) {
        List<ModelEngine.Run> refused = engine.notBegun();
        refused.forEach(engine::refuse);
        return !refused.isEmpty();
    }

    private static boolean sendEvent(ModelEngine engine, ModelStream stream) {
        Optional<ModelEngine.Run> run = engine.run(stream);
        if (run.isEmpty()) {
            return false;
        }
        var event = engine.nextEvent(run.get());
        event.ifPresent(id -> stream.event(run.get().attempt(), id));
        return event.isPresent();
    }

    private static boolean end(ModelEngine engine, ModelStream stream) {
        Optional<ModelEngine.Run> run = engine.run(stream);
        run.ifPresent(r -> stream.answerEnded(r.attempt(), ModelEngine.endsWithinEvent(r)));
        return run.isPresent();
    }

    private static boolean stop(ModelEngine engine) {
        if (engine.alive()) {
            engine.stop().forEach(run -> run.stream().recover(run.attempt()));
        } else {
            engine.startAgain();
        }
        return true;
    }

    private static boolean leave(ModelStream stream) {
        boolean open = !stream.ended();
        stream.end(StreamWorld.Outcome.LEFT);
        return open;
    }

    private boolean pass(long nanos) {
        long until = now + nanos;
        while (now < until) {
            now = queue.isEmpty() ? until : Math.min(until, now + TICK_NANOS);
            if (now >= TIMEOUT_NANOS) {
                streams.forEach(stream -> stream.end(StreamWorld.Outcome.TIMEOUT));
            }
            queue.tick(now);
            settle();
        }
        return true;
    }

    /** Runs what follows from a step at once. */
    private void settle() {
        while (!pending.isEmpty()) {
            pending.remove().run();
        }
    }

    /** Makes all engines sound, lets time pass, and checks that all streams end. */
    void heal() {
        engines.forEach(ModelEngine::heal);
        long until = now + HEAL_NANOS;
        while (now < until && !streams.stream().allMatch(ModelStream::ended)) {
            engines.forEach(this::finishAll);
            pass(TICK_NANOS);
            check();
        }
        if (!streams.stream().allMatch(ModelStream::ended)) {
            throw new ModelFault(ModelFault.Kind.STUCK, "not ended though engines are sound");
        }
    }

    private void finishAll(ModelEngine engine) {
        for (ModelEngine.Run run : engine.runs()) {
            while (engine.runs().contains(run) && !ModelEngine.complete(run)) {
                sendEvent(engine, run.stream());
            }
            if (engine.runs().contains(run)) {
                end(engine, run.stream());
            }
        }
        settle();
    }

    @Override
    public boolean allows(AnswerState state) {
        return budget.allows(SERVICE, state, now);
    }

    @Override
    public void recordRetry(AnswerState state) {
        budget.record(SERVICE, state, now);
    }

    @Override
    public RetryQueue retryQueue() {
        return queue;
    }

    @Override
    public void ended(StreamDriver stream) {
        // the stream stays one of this model
    }

    @Override
    public void later(Runnable task) {
        pending.add(task);
    }

    /** Chooses one of the engines that fulfil a condition, another one each time. */
    @Override
    public Optional<StreamWorld.Engine> choose(Predicate<StreamWorld.Engine> condition) {
        List<ModelEngine> found = engines.stream().filter(condition).toList();
        return found.isEmpty()
                ? Optional.empty()
                : Optional.of(found.get(choices++ % found.size()));
    }

    Optional<ModelEngine> find(Predicate<ModelEngine> condition) {
        return engines.stream().filter(condition).findFirst();
    }

    @Override
    public boolean gone(Endpoint start) {
        return engines.stream()
                .filter(e -> e.endpoint().id().equals(start.id()))
                .allMatch(e -> e.ended(start));
    }

    /** Returns whether an attempt is open at any engine. */
    boolean runs(ModelStream stream, int attempt) {
        return engines.stream()
                .flatMap(e -> e.runs().stream())
                .anyMatch(run -> run.stream().equals(stream) && run.attempt() == attempt);
    }

    /** Records that a request arrived at an engine. */
    void recordArrival(ModelStream stream, Endpoint engine) {
        received.computeIfAbsent(stream, s -> new ArrayList<>()).add(engine);
        if (!sent.add(stream)) {
            retries.add(now);
        }
    }

    /** Records that an engine refused a request, which has not run there. */
    void recordRefusal(ModelStream stream, Endpoint engine) {
        received.get(stream).remove(engine);
    }

    private void check() {
        streams.forEach(ModelStream::checkOpen);
        long inWindow = retries.stream().filter(at -> at > now - WINDOW_NANOS).count();
        if (inWindow > BUDGET) {
            throw new ModelFault(ModelFault.Kind.BUDGET_EXCEEDED, inWindow + " retries");
        }
        received.values().forEach(this::checkEngines);
    }

    private void checkEngines(List<Endpoint> starts) {
        long different = starts.stream().filter(start -> !gone(start)).distinct().count();
        if (different > ModelStream.MAX_ENGINES) {
            throw new ModelFault(ModelFault.Kind.MAX_ATTEMPTS_EXCEEDED, different + " engines");
        }
    }
}
