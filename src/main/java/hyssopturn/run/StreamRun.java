package hyssopturn.run;

import hyssopturn.event.Detail;
import hyssopturn.member.View;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.InstanceId;
import hyssopturn.model.Reason;
import hyssopturn.model.Target;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.EngineClient.Step;
import hyssopturn.port.EngineClient.StepResult;
import hyssopturn.port.EngineClient.Token;
import hyssopturn.port.FailedException;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.Instance;
import hyssopturn.port.RefusedException;
import hyssopturn.route.Chain;
import hyssopturn.route.ChainChooser;
import hyssopturn.route.Routes;
import hyssopturn.run.RecoveryPlanner.Plan;
import hyssopturn.run.StepTimeouts.Scope;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * One run of a generation: passes every token through a chain of stages and recovers from failures.
 *
 * <p>Only an answer to the awaited step advances the run; answers of earlier attempts, other
 * positions and steps that are already answered are ignored.
 */
final class StreamRun implements RunMachine {
    private static final int MAX_FAILURES = 3;
    private static final int MAX_STATE_LOSSES = 2;
    private static final int MAX_DOUBLINGS = 5;

    /** Least number of step timeouts that fit into the stall timeout of a run. */
    private static final int MIN_STEP_TIMEOUTS_PER_STALL = 10;

    private final Generation generation;
    private final Routes routes;
    private final Supplier<View> view;
    private final StepTimeouts stepTimeouts;
    private final RunSettings settings;
    private final RunProgress progress;
    private final RecoveryPlanner recoveryPlanner;
    private final ExecutionTracker executionTracker = new ExecutionTracker();
    private final MovePlanner movePlanner;
    private final Map<InstanceId, Long> avoidedUntil = new HashMap<>();
    private final Map<InstanceId, Integer> stateLosses = new HashMap<>();
    private final Map<Instance, Integer> lastAttempts = new LinkedHashMap<>();
    private final Set<Instance> usedEngines = new HashSet<>();
    private List<RunAction> actions = new ArrayList<>();
    private Phase phase = Phase.NEW;

    /** The awaited call, null while no step was sent to the current stage. */
    private StepCall call;

    private int attempt;
    private int highestAttempt;
    private long calls;
    private long timer;
    private int delivered;
    private int failures;
    private int backoffs;
    private int recoveries;
    private long progressNanos;

    private enum Phase {
        NEW,
        CALLING,
        /** No engines can continue the run; late answers are still accepted. */
        WAITING,
        MOVING,
        ENDED
    }

    StreamRun(
            Generation generation,
            Routes routes,
            Supplier<View> view,
            StepTimeouts stepTimeouts,
            ActivationBudget budget,
            RunSettings settings) {
        this.generation = generation;
        this.routes = routes;
        this.view = view;
        this.stepTimeouts = stepTimeouts;
        this.settings = settings;
        progress = new RunProgress(generation.prompt(), budget);
        recoveryPlanner = new RecoveryPlanner(routes, generation.model());
        movePlanner = new MovePlanner(routes, generation.model(), settings);
        progressNanos = generation.arrivedNanos();
    }

    @Override
    public List<RunAction> on(RunEvent event, long now) {
        actions = new ArrayList<>();
        if (phase != Phase.ENDED) {
            switch (event) {
                case RunEvent.Started started -> begin(now);
                case RunEvent.Answered answered -> answered(answered, now);
                case RunEvent.Failed failed -> stepFailed(failed, now);
                case RunEvent.Moved moved -> moved(moved, now);
                case RunEvent.MoveFailed failed -> moveFailed(failed.attempt(), now);
                case RunEvent.TimerFired fired -> timerFired(fired.timer(), now);
                case RunEvent.Cancelled cancelled -> close();
            }
        }
        return actions;
    }

    private void begin(long now) {
        ChainChooser.Query query =
                new ChainChooser.Query(
                        generation.model(),
                        generation.prompt().size(),
                        generation.prefix(),
                        generation.workClass().target());
        Optional<Chain> chain = routes.choose(query, view.get());
        if (chain.isEmpty()) {
            waitForEngines(now);
            return;
        }
        progress.setStages(chain.get().stages().stream().map(s -> new RunStage(s, 0)).toList(), 0);
        startAttempt(++highestAttempt, now);
    }

    private void startAttempt(int number, long now) {
        attempt = number;
        call = null;
        String chain = progress.describe(generation.model().id());
        actions.add(new RunAction.RecordEvent(new Detail.AttemptBegan(attempt, chain)));
        send(false, now);
    }

    private void send(boolean newConnection, long now) {
        if (progress.input().isEmpty()) {
            recomputeAll();
        }
        RunStage stage = progress.current();
        InstanceId engine = stage.engine();
        if (!mayUse(stage.stage().engine())) {
            recoverWithout(engine, now);
            return;
        }
        phase = Phase.CALLING;
        issue(newConnection, now);
        setTimer(stepTimeout(engine));
    }

    /** Doubles the timeout with each recovery until the next token, because it may be too low. */
    private Duration stepTimeout(InstanceId engine) {
        Target target = generation.workClass().target();
        Scope scope = call.newConnection() ? Scope.ENGINE : Scope.CONNECTION;
        Duration timeout =
                stepTimeouts
                        .timeout(engine, call.count(), call.predictedNanos(), target, scope)
                        .multipliedBy(1L << Math.min(MAX_DOUBLINGS, recoveries));
        Duration limit = settings.stallTimeout().dividedBy(MIN_STEP_TIMEOUTS_PER_STALL);
        return timeout.compareTo(limit) < 0 ? timeout : limit;
    }

    /**
     * An engine that has left the view gets a step only if it has already answered or received
     * state; steps that it never answered do not count.
     */
    private boolean mayUse(Instance engine) {
        return usedEngines.contains(engine)
                || view.get().engines().stream()
                        .anyMatch(e -> e.instance().id().equals(engine.id()));
    }

    /** Recomputes all stages from the tokens, which are always available. */
    private void recomputeAll() {
        progress.setStages(progress.stages().stream().map(p -> p.withCachedTokens(0)).toList(), 0);
        attempt = ++highestAttempt;
        call = null;
    }

    private void issue(boolean newConnection, long now) {
        RunStage stage = progress.current();
        int count = progress.end() - stage.cachedTokens();
        double predicted = routes.nanos(stage.stage(), count);
        call =
                new StepCall(
                        generation.request(),
                        ++calls,
                        attempt,
                        progress.cursor(),
                        stage.cachedTokens(),
                        count,
                        newConnection,
                        now,
                        predicted);
        Step step =
                new Step(
                        generation.request(),
                        attempt,
                        generation.model().id(),
                        stage.layers(),
                        stage.cachedTokens(),
                        count,
                        progress.input().orElseThrow(),
                        generation.prefix(),
                        0);
        executionTracker.sent(call);
        lastAttempts.put(stage.stage().engine(), attempt);
        Dial dial = newConnection ? Dial.FRESH : Dial.POOLED;
        actions.add(new RunAction.Send(call, stage.stage().engine(), step, dial));
    }

    private void setTimer(Duration delay) {
        actions.add(new RunAction.SetTimer(++timer, delay));
    }

    private void answered(RunEvent.Answered event, long now) {
        if (!event.call().request().equals(generation.request())) {
            return;
        }
        executionTracker.answered(event.call());
        if (!isAwaited(event.call()) || !isValidResult(event.call(), event.result())) {
            return;
        }
        RunStage stage = progress.current();
        long nanos = now - event.call().sentNanos();
        actions.add(
                new RunAction.RecordDuration(
                        stage.engine(), stage.layers().size(), event.call(), nanos));
        usedEngines.add(stage.stage().engine());
        call = null;
        boolean last = progress.atLastStage();
        progress.acceptOutput(event.result().output());
        if (last) {
            deliver(event.result().token().orElseThrow(), now);
        } else {
            send(false, now);
        }
    }

    private boolean isAwaited(StepCall other) {
        boolean waiting = phase == Phase.CALLING || phase == Phase.WAITING;
        return waiting && call != null && call.sameStep(other);
    }

    private boolean isValidResult(StepCall awaited, StepResult result) {
        int size = result.output().size();
        return result.position() == awaited.position()
                && size > 0
                && size % awaited.count() == 0
                && (!progress.atLastStage() || result.token().isPresent());
    }

    private void deliver(Token token, long now) {
        actions.add(new RunAction.Emit(new AnswerEvent.Token(delivered, token.text())));
        delivered++;
        progressNanos = now;
        backoffs = 0;
        recoveries = 0;
        failures = 0;
        stateLosses.clear();
        if (token.last() || delivered == generation.maxTokens()) {
            finish(End.done());
            return;
        }
        progress.appendToken(token.id());
        Optional<MovePlanner.Move> move = nextMove(now);
        if (move.isEmpty()) {
            send(false, now);
            return;
        }
        phase = Phase.MOVING;
        MovePlanner.Move planned = move.get();
        lastAttempts.put(planned.to().engine(), planned.attempt());
        actions.add(
                new RunAction.Move(
                        planned.attempt(),
                        planned.from().stage().engine(),
                        planned.to().engine(),
                        planned.layers()));
        setTimer(settings.moveTimeout());
    }

    private Optional<MovePlanner.Move> nextMove(long now) {
        int left = generation.maxTokens() - delivered;
        Optional<MovePlanner.Move> move =
                movePlanner.next(progress, view.get(), left, highestAttempt + 1, avoided(now), now);
        if (move.isPresent()) {
            highestAttempt++;
        }
        return move;
    }

    private void moved(RunEvent.Moved event, long now) {
        if (phase != Phase.MOVING || event.attempt() != highestAttempt) {
            return;
        }
        MovePlanner.Move move = movePlanner.pending();
        if (event.position() != move.from().cachedTokens()) {
            moveFailed(event.attempt(), now);
            return;
        }
        List<RunStage> stages = new ArrayList<>(progress.stages());
        stages.set(move.stage(), new RunStage(move.to(), move.from().cachedTokens()));
        progress.setStages(stages, 0);
        usedEngines.add(move.to().engine());
        cancel(move.from().stage().engine());
        actions.add(new RunAction.CountRecovery(Recovery.MOVE, 0));
        startAttempt(event.attempt(), now);
    }

    private void moveFailed(int number, long now) {
        if (phase != Phase.MOVING || number != highestAttempt) {
            return;
        }
        movePlanner.moveFailed();
        cancel(movePlanner.pending().to().engine());
        send(false, now);
    }

    private void cancel(Instance engine) {
        Integer last = lastAttempts.remove(engine);
        if (last != null) {
            actions.add(new RunAction.Cancel(engine, last));
        }
    }

    private void stepFailed(RunEvent.Failed event, long now) {
        executionTracker.failed(event.call(), event.cause());
        boolean latest = call != null && event.call().number() == call.number();
        if (phase != Phase.CALLING || !latest) {
            return;
        }
        RunStage stage = progress.current();
        actions.add(
                new RunAction.RecordEvent(
                        new Detail.EndpointFailed(stage.engine(), event.cause().toString())));
        switch (event.cause()) {
            case RefusedException refused -> refused(refused, now);
            case FailedException failed -> engineFailed(failed, now);
            case InDoubtException doubt -> unanswered(now);
            default -> unanswered(now);
        }
    }

    private void refused(RefusedException cause, long now) {
        switch (cause.reason()) {
            case UNREACHABLE -> {
                actions.add(new RunAction.ReportUnreachable(progress.current().stage().engine()));
                suspect(now);
            }
            case DRAINING -> {
                actions.add(new RunAction.ReportLeaving(progress.current().stage().engine()));
                recoverWithout(progress.current().engine(), now);
            }
            case OVERLOADED -> recoverWithout(progress.current().engine(), now);
            case NOT_HELD, STALE -> stateLost(now);
            case INVALID -> finish(refusedAsInvalid(cause));
        }
    }

    private End refusedAsInvalid(RefusedException cause) {
        return executionTracker.nothingExecuted()
                ? End.notRun(Reason.INVALID, cause.getMessage())
                : executionTracker.end(cause.getMessage());
    }

    /**
     * The engine works but lost the cached state; it is avoided only if that happens repeatedly.
     */
    private void stateLost(long now) {
        InstanceId engine = progress.current().engine();
        boolean neverHeld = progress.current().cachedTokens() == 0;
        if (neverHeld || stateLosses.merge(engine, 1, Integer::sum) >= MAX_STATE_LOSSES) {
            recoverWithout(engine, now);
        } else {
            recover(now);
        }
    }

    private void engineFailed(FailedException cause, long now) {
        failures++;
        if (failures >= MAX_FAILURES) {
            finish(executionTracker.end(cause.getMessage()));
        } else {
            recoverWithout(progress.current().engine(), now);
        }
    }

    /** Without an answer, first retries over a new connection, then avoids the engine. */
    private void unanswered(long now) {
        if (call.newConnection()) {
            suspect(now);
            return;
        }
        actions.add(new RunAction.CountRecovery(Recovery.RESUME, 0));
        send(true, now);
    }

    private void timedOut(long now) {
        if (call.newConnection()) {
            long nanos = now - call.sentNanos();
            actions.add(new RunAction.RecordTimeout(progress.current().engine(), call, nanos));
        }
        unanswered(now);
    }

    private void suspect(long now) {
        InstanceId engine = progress.current().engine();
        actions.add(new RunAction.ReportSuspect(engine));
        recoverWithout(engine, now);
    }

    private void recoverWithout(InstanceId engine, long now) {
        avoidedUntil.put(engine, now + settings.avoidTime().toNanos());
        recover(now);
    }

    private void recover(long now) {
        if (!progress.hasStages()) {
            begin(now);
            return;
        }
        if (timeLimitPassed(now)) {
            finish(executionTracker.end("no engines could go on in time"));
            return;
        }
        Optional<Plan> plan = recoveryPlanner.best(progress, view.get(), avoided(now));
        if (plan.isEmpty()) {
            waitForEngines(now);
            return;
        }
        applyPlan(plan.get(), now);
    }

    private Set<InstanceId> avoided(long now) {
        avoidedUntil.values().removeIf(until -> until - now <= 0);
        return avoidedUntil.keySet();
    }

    private void applyPlan(Plan plan, long now) {
        recoveries++;
        progress.setStages(plan.stages(), plan.cursor());
        Set<InstanceId> kept = progress.enginesExcept(-1);
        List.copyOf(lastAttempts.keySet()).stream()
                .filter(engine -> !kept.contains(engine.id()))
                .forEach(this::cancel);
        actions.add(new RunAction.CountRecovery(plan.recovery(), plan.layerTokens()));
        startAttempt(++highestAttempt, now);
    }

    /** Waits for engines with backoff and retries the current one, which may recover meanwhile. */
    private void waitForEngines(long now) {
        if (timeLimitPassed(now)) {
            finish(
                    executionTracker.end(
                            "no engines hold all layers of " + generation.model().id()));
            return;
        }
        if (progress.hasStages() && mayUse(progress.current().stage().engine())) {
            issue(true, now);
        }
        phase = Phase.WAITING;
        long factor = 1L << Math.min(MAX_DOUBLINGS, backoffs);
        backoffs++;
        Duration backoff = settings.backoff().multipliedBy(factor);
        setTimer(backoff.compareTo(settings.maxBackoff()) < 0 ? backoff : settings.maxBackoff());
    }

    /**
     * If no step can have been executed, the run fails once its target for the first token has
     * passed.
     */
    private boolean timeLimitPassed(long now) {
        Duration limit =
                executionTracker.nothingExecuted()
                        ? generation.workClass().target().first()
                        : settings.stallTimeout();
        return now - progressNanos - limit.toNanos() >= 0;
    }

    private void timerFired(long number, long now) {
        if (number != timer) {
            return;
        }
        switch (phase) {
            case CALLING -> timedOut(now);
            case WAITING -> recover(now);
            case MOVING -> moveFailed(highestAttempt, now);
            case NEW, ENDED -> {
                // no timer is set
            }
        }
    }

    private void finish(End end) {
        actions.add(new RunAction.Emit(end));
        close();
    }

    private void close() {
        phase = Phase.ENDED;
        progress.releaseActivations();
        List.copyOf(lastAttempts.keySet()).forEach(this::cancel);
    }
}
