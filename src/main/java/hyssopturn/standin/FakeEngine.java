package hyssopturn.standin;

import hyssopturn.model.Bytes;
import hyssopturn.model.LayerRange;
import hyssopturn.model.RequestId;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.KvState;
import hyssopturn.port.EngineClient.Order;
import hyssopturn.port.EngineClient.Step;
import hyssopturn.port.EngineClient.StepResult;
import hyssopturn.port.PortException;
import hyssopturn.port.RefusedException;
import hyssopturn.port.RefusedException.Reason;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Stand-in for a model engine: batches continuously, caches state and prefixes, and does exactly
 * the arithmetic of {@link ReferenceModel}.
 */
public final class FakeEngine {
    private static final double PROMPT_TOKEN_COST = 0.1;
    private static final double PREFIX_HIT_COST = 0.2;
    private static final int JOURNAL_CAPACITY = 1_000_000;

    private final EngineProfile profile;
    private final boolean fenced;
    private final int lastLayer;
    private final Clock clock;
    private final Map<RequestId, RunState> runs = new HashMap<>();
    private final Map<RequestId, Integer> cancelled = new HashMap<>();
    private final List<Pending> queue = new ArrayList<>();
    private final List<JournalEntry> journal = new ArrayList<>();
    private final Set<Long> prefixes = new LinkedHashSet<>();
    private List<Holding> held;
    private List<Holding> loading = List.of();
    private long term;
    private long orders;
    private boolean busy;
    private boolean draining;
    private double factor = 1;
    private double stepMillis;
    private int batchSize;
    private EngineReport shown;
    private EngineReport next;
    private long nextAt;

    /**
     * Creates an engine.
     *
     * @param profile how fast it is
     * @param held what it holds from the start
     * @param lastLayer number of layers of the whole model; the engine that runs the last one makes
     *     tokens
     * @param fenced true if it refuses old fencing numbers
     * @param clock time
     */
    public FakeEngine(
            EngineProfile profile, List<Holding> held, int lastLayer, boolean fenced, Clock clock) {
        this.profile = profile;
        this.held = List.copyOf(held);
        this.lastLayer = lastLayer;
        this.fenced = fenced;
        this.clock = clock;
        shown = reportNow();
        next = shown;
        nextAt = clock.nanos();
    }

    /**
     * One step that ran.
     *
     * @param request the request
     * @param attempt number of the attempt
     * @param layers layers that ran
     * @param position position of the first token
     * @param count number of tokens
     */
    public record JournalEntry(
            RequestId request, int attempt, LayerRange layers, int position, int count) {}

    private record Pending(Step step, CompletableFuture<StepResult> answer) {}

    /**
     * Runs a step; see the port for its contract.
     *
     * @param step the step
     * @return its result
     */
    public CompletableFuture<StepResult> step(Step step) {
        CompletableFuture<StepResult> answer = new CompletableFuture<>();
        synchronized (this) {
            Optional<PortException> refusal = refusal(step);
            if (refusal.isPresent()) {
                answer.completeExceptionally(refusal.get());
                return answer;
            }
            queue.add(new Pending(step, answer));
        }
        startBatch();
        return answer;
    }

    private Optional<PortException> refusal(Step step) {
        if (step.attempt() <= cancelled.getOrDefault(step.request(), 0)) {
            return refused(Reason.STALE, "attempt was cancelled");
        }
        boolean holds =
                held.stream()
                        .anyMatch(
                                h ->
                                        h.model().equals(step.model())
                                                && h.layers().contains(step.layers()));
        RunState run = runs.get(step.request());
        if (run == null) {
            if (draining) {
                return refused(Reason.DRAINING, "engine is leaving");
            }
            if (!holds) {
                return refused(Reason.NOT_HELD, "layers " + step.layers() + " are not held");
            }
            if (step.position() > 0) {
                return refused(Reason.NOT_HELD, "no cached state before " + step.position());
            }
            long used = runs.values().stream().mapToLong(RunState::position).sum();
            if (used + step.count() > profile.kvTokens()) {
                return refused(Reason.OVERLOADED, "cache is full");
            }
            return Optional.empty();
        }
        if (step.attempt() < run.attempt()) {
            return refused(Reason.STALE, "attempt " + run.attempt() + " is under way");
        }
        if (step.position() > run.position()) {
            return refused(Reason.NOT_HELD, "cached state ends at " + run.position());
        }
        return Optional.empty();
    }

    private static Optional<PortException> refused(Reason reason, String message) {
        return Optional.of(new RefusedException(reason, message));
    }

    private void startBatch() {
        List<Pending> batch = new ArrayList<>();
        Duration span;
        synchronized (this) {
            if (busy || queue.isEmpty()) {
                return;
            }
            queue.sort(Comparator.comparingInt(p -> p.step().priority()));
            int tokens = 0;
            double cost = 0;
            Iterator<Pending> waiting = queue.iterator();
            while (waiting.hasNext()) {
                Pending candidate = waiting.next();
                int count = candidate.step().count();
                if (!batch.isEmpty() && tokens + count > profile.maxBatchTokens()) {
                    break;
                }
                waiting.remove();
                batch.add(candidate);
                tokens += count;
                cost += cost(candidate.step());
            }
            busy = true;
            batchSize = batch.size();
            double nanos = profile.base().toNanos() + cost * profile.perToken().toNanos();
            span = Duration.ofNanos(Math.round(nanos * factor));
            stepMillis = span.toNanos() / 1e6;
        }
        clock.after(span, () -> finish(batch));
    }

    private double cost(Step step) {
        if (step.count() == 1) {
            return 1;
        }
        boolean hit = !prefixes.add(step.prefix());
        if (prefixes.size() > profile.prefixes()) {
            prefixes.remove(prefixes.iterator().next());
        }
        double cost = step.count() * PROMPT_TOKEN_COST;
        return hit ? cost * PREFIX_HIT_COST : cost;
    }

    private void finish(List<Pending> batch) {
        List<Runnable> answers = new ArrayList<>();
        synchronized (this) {
            for (Pending pending : batch) {
                answers.add(execute(pending));
            }
            busy = false;
            batchSize = 0;
        }
        startBatch();
        answers.forEach(Runnable::run);
    }

    private Runnable execute(Pending pending) {
        Step step = pending.step();
        Optional<PortException> refusal = refusal(step);
        if (refusal.isPresent()) {
            return () -> pending.answer().completeExceptionally(refusal.get());
        }
        RunState run =
                runs.computeIfAbsent(
                        step.request(),
                        id -> new RunState(step.model(), step.layers(), step.attempt()));
        if (!run.layers().equals(step.layers()) || !run.model().equals(step.model())) {
            if (step.position() > 0) {
                RefusedException other =
                        new RefusedException(Reason.NOT_HELD, "state is for " + run.layers());
                return () -> pending.answer().completeExceptionally(other);
            }
            run = new RunState(step.model(), step.layers(), step.attempt());
            runs.put(step.request(), run);
        }
        run.attempt(step.attempt());
        Bytes output = run.known(step.position(), step.input());
        if (output == null) {
            run.truncate(step.position());
            output = run.run(step.input());
            note(step);
        }
        StepResult result = result(step, output);
        return () -> pending.answer().complete(result);
    }

    private void note(Step step) {
        if (journal.size() < JOURNAL_CAPACITY) {
            journal.add(
                    new JournalEntry(
                            step.request(),
                            step.attempt(),
                            step.layers(),
                            step.position(),
                            step.count()));
        }
    }

    private StepResult result(Step step, Bytes output) {
        if (step.layers().to() != lastLayer) {
            return new StepResult(step.position(), output, Optional.empty());
        }
        long[] activations = ReferenceModel.unpack(output);
        return new StepResult(
                step.position(),
                output,
                Optional.of(ReferenceModel.token(activations[activations.length - 1])));
    }

    /**
     * Cancels attempts; see the port.
     *
     * @param request the request
     * @param attempt highest attempt to cancel
     */
    public synchronized void cancel(RequestId request, int attempt) {
        cancelled.merge(request, attempt, Math::max);
        RunState run = runs.get(request);
        if (run != null && run.attempt() <= attempt) {
            runs.remove(request);
        }
    }

    /**
     * Exports cached state; see the port.
     *
     * @param request the request
     * @param layers layers wanted
     * @return the state, empty if it is not held
     */
    public synchronized Optional<KvState> exportKv(RequestId request, LayerRange layers) {
        return Optional.ofNullable(runs.get(request))
                .filter(run -> run.layers().contains(layers))
                .map(run -> new KvState(run.model(), layers, run.position(), run.export(layers)));
    }

    /**
     * Imports cached state; see the port.
     *
     * @param request the request
     * @param attempt attempt that will use it
     * @param state the state
     */
    public synchronized void importKv(RequestId request, int attempt, KvState state) {
        RunState run = new RunState(state.model(), state.layers(), attempt);
        run.restore(state.position(), state.data());
        runs.put(request, run);
    }

    /**
     * Returns the load report, as late as the profile says.
     *
     * @return the report
     */
    public synchronized EngineReport report() {
        long now = clock.nanos();
        if (now - nextAt >= profile.reportLag().toNanos()) {
            shown = next;
            next = reportNow();
            nextAt = now;
        }
        return new EngineReport(
                held,
                loading,
                shown.running(),
                shown.waiting(),
                shown.kvFreeTokens(),
                shown.stepMillis(),
                draining,
                term);
    }

    private EngineReport reportNow() {
        long used = runs.values().stream().mapToLong(RunState::position).sum();
        return new EngineReport(
                held,
                loading,
                batchSize,
                queue.size(),
                profile.kvTokens() - used,
                stepMillis,
                draining,
                term);
    }

    /**
     * Takes an order; see the port.
     *
     * @param order the desired state
     * @throws RefusedException if the engine is fenced and the term is old
     */
    public void order(Order order) {
        long number;
        Duration span;
        synchronized (this) {
            if (fenced && order.term() < term) {
                throw new RefusedException(Reason.STALE, "term " + term + " was seen");
            }
            term = Math.max(term, order.term());
            number = ++orders;
            List<Holding> kept = order.holdings().stream().filter(held::contains).toList();
            loading = order.holdings().stream().filter(h -> !held.contains(h)).toList();
            held = kept;
            int layers = loading.stream().mapToInt(h -> h.layers().size()).sum();
            span = profile.loadPerLayer().multipliedBy(layers);
        }
        clock.after(span, () -> loaded(number, order.holdings()));
    }

    private synchronized void loaded(long number, List<Holding> holdings) {
        if (number == orders) {
            held = List.copyOf(holdings);
            loading = List.of();
        }
    }

    /**
     * Makes the engine refuse new requests while it finishes those it has.
     *
     * @param value true to drain
     */
    public synchronized void draining(boolean value) {
        draining = value;
    }

    /**
     * Makes the engine slower or quicker from its next batch on.
     *
     * @param value factor on every batch time
     */
    public synchronized void slowdown(double value) {
        factor = value;
    }

    /**
     * Returns the steps that ran, in order.
     *
     * @return a copy of the journal
     */
    public synchronized List<JournalEntry> journal() {
        return List.copyOf(journal);
    }
}
