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
import hyssopturn.run.Recoveries.Plan;
import hyssopturn.run.WaitBounds.Patience;

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
 * One run of a generation: drives every token through a chain of stages and recovers what fails.
 *
 * <p>Only an answer to the step that is awaited now changes anything; answers of earlier attempts,
 * other positions and steps answered before are ignored.
 */
final class StreamRun implements RunMachine {
    private static final int GREATEST_FAILURES = 3;
    private static final int GREATEST_STRIKES = 2;
    private static final int GREATEST_DOUBLINGS = 5;

    /** Least number of waits that fit into the time that a run may go without a token. */
    private static final int LEAST_WAITS = 10;

    private final Generation generation;
    private final Routes routes;
    private final Supplier<View> view;
    private final WaitBounds waits;
    private final RunSettings settings;
    private final Lineage lineage;
    private final Recoveries plans;
    private final Truth truth = new Truth();
    private final Moves moves;
    private final Map<InstanceId, Long> avoid = new HashMap<>();
    private final Map<InstanceId, Integer> strikes = new HashMap<>();
    private final Map<Instance, Integer> touched = new LinkedHashMap<>();
    private final Set<Instance> known = new HashSet<>();
    private List<RunAction> actions = new ArrayList<>();
    private Phase phase = Phase.NEW;

    /** The step that is awaited, null while the current stage has not been asked. */
    private StepCall call;

    private int attempt;
    private int highestAttempt;
    private long calls;
    private long timer;
    private int delivered;
    private int failures;
    private int waited;
    private int recoveries;
    private long progressNanos;

    private enum Phase {
        NEW,
        CALLING,
        /** No engines can go on; late answers are still welcome. */
        WAITING,
        MOVING,
        ENDED
    }

    StreamRun(
            Generation generation,
            Routes routes,
            Supplier<View> view,
            WaitBounds waits,
            ActivationBudget budget,
            RunSettings settings) {
        this.generation = generation;
        this.routes = routes;
        this.view = view;
        this.waits = waits;
        this.settings = settings;
        lineage = new Lineage(generation.prompt(), budget);
        plans = new Recoveries(routes, generation.model());
        moves = new Moves(routes, generation.model(), settings);
        progressNanos = generation.arrivedNanos();
    }

    @Override
    public List<RunAction> on(RunEvent event, long now) {
        actions = new ArrayList<>();
        if (phase != Phase.ENDED) {
            switch (event) {
                case RunEvent.Started started -> begin(now);
                case RunEvent.Answered answered -> answered(answered, now);
                case RunEvent.Broke broke -> broke(broke, now);
                case RunEvent.Moved moved -> moved(moved, now);
                case RunEvent.MoveBroke broke -> moveBroke(broke.attempt(), now);
                case RunEvent.Fired fired -> fired(fired.timer(), now);
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
            await(now);
            return;
        }
        lineage.adopt(chain.get().stages().stream().map(s -> new Place(s, 0)).toList(), 0);
        attempt(++highestAttempt, now);
    }

    private void attempt(int number, long now) {
        attempt = number;
        call = null;
        String chain = lineage.describe(generation.model().id());
        actions.add(new RunAction.Note(new Detail.AttemptBegan(attempt, chain)));
        send(false, now);
    }

    private void send(boolean fresh, long now) {
        if (lineage.input().isEmpty()) {
            rewind();
        }
        Place at = lineage.current();
        InstanceId engine = at.engine();
        if (!mayAsk(at.stage().engine())) {
            recoverWithout(engine, now);
            return;
        }
        phase = Phase.CALLING;
        issue(fresh, now);
        arm(bound(engine));
    }

    /** The bound doubles with each recovery until a token comes, for it may have been too low. */
    private Duration bound(InstanceId engine) {
        Target target = generation.workClass().target();
        Patience patience = call.fresh() ? Patience.ENGINE : Patience.CONNECTION;
        Duration bound =
                waits.bound(engine, call.count(), call.predicted(), target, patience)
                        .multipliedBy(1L << Math.min(GREATEST_DOUBLINGS, recoveries));
        Duration limit = settings.patience().dividedBy(LEAST_WAITS);
        return bound.compareTo(limit) < 0 ? bound : limit;
    }

    /** An engine that has left gets nothing new, though it may have been asked in vain before. */
    private boolean mayAsk(Instance engine) {
        return known.contains(engine)
                || view.get().engines().stream()
                        .anyMatch(e -> e.instance().id().equals(engine.id()));
    }

    /** Runs all stages again from the tokens, which are always at hand. */
    private void rewind() {
        lineage.adopt(lineage.places().stream().map(p -> p.with(0)).toList(), 0);
        attempt = ++highestAttempt;
        call = null;
    }

    private void issue(boolean fresh, long now) {
        Place at = lineage.current();
        int count = lineage.end() - at.have();
        double predicted = routes.nanos(at.stage(), count);
        call =
                new StepCall(
                        generation.request(),
                        ++calls,
                        attempt,
                        lineage.cursor(),
                        at.have(),
                        count,
                        fresh,
                        now,
                        predicted);
        Step step =
                new Step(
                        generation.request(),
                        attempt,
                        generation.model().id(),
                        at.layers(),
                        at.have(),
                        count,
                        lineage.input().orElseThrow(),
                        generation.prefix(),
                        0);
        truth.sent(call);
        touched.put(at.stage().engine(), attempt);
        Dial dial = fresh ? Dial.FRESH : Dial.POOLED;
        actions.add(new RunAction.Send(call, at.stage().engine(), step, dial));
    }

    private void arm(Duration delay) {
        actions.add(new RunAction.Arm(++timer, delay));
    }

    private void answered(RunEvent.Answered event, long now) {
        if (!event.call().request().equals(generation.request())) {
            return;
        }
        truth.answered(event.call());
        if (!awaited(event.call()) || !fits(event.call(), event.result())) {
            return;
        }
        Place at = lineage.current();
        long nanos = now - event.call().sentNanos();
        actions.add(new RunAction.Learn(at.engine(), at.layers().size(), event.call(), nanos));
        known.add(at.stage().engine());
        call = null;
        boolean last = lineage.atLast();
        lineage.accept(event.result().output());
        if (last) {
            deliver(event.result().token().orElseThrow(), now);
        } else {
            send(false, now);
        }
    }

    private boolean awaited(StepCall other) {
        boolean waiting = phase == Phase.CALLING || phase == Phase.WAITING;
        return waiting && call != null && call.sameStep(other);
    }

    private boolean fits(StepCall asked, StepResult result) {
        int size = result.output().size();
        return result.position() == asked.position()
                && size > 0
                && size % asked.count() == 0
                && (!lineage.atLast() || result.token().isPresent());
    }

    private void deliver(Token token, long now) {
        actions.add(new RunAction.Emit(new AnswerEvent.Token(delivered, token.text())));
        delivered++;
        progressNanos = now;
        waited = 0;
        recoveries = 0;
        failures = 0;
        strikes.clear();
        if (token.last() || delivered == generation.maxTokens()) {
            finish(End.done());
            return;
        }
        lineage.append(token.id());
        Optional<Moves.Move> move = move(now);
        if (move.isEmpty()) {
            send(false, now);
            return;
        }
        phase = Phase.MOVING;
        Moves.Move to = move.get();
        touched.put(to.to().engine(), to.attempt());
        actions.add(
                new RunAction.Move(
                        to.attempt(), to.from().stage().engine(), to.to().engine(), to.layers()));
        arm(settings.moveLimit());
    }

    private Optional<Moves.Move> move(long now) {
        int left = generation.maxTokens() - delivered;
        Optional<Moves.Move> move =
                moves.due(lineage, view.get(), left, highestAttempt + 1, avoided(now), now);
        if (move.isPresent()) {
            highestAttempt++;
        }
        return move;
    }

    private void moved(RunEvent.Moved event, long now) {
        if (phase != Phase.MOVING || event.attempt() != highestAttempt) {
            return;
        }
        Moves.Move move = moves.pending();
        if (event.position() != move.from().have()) {
            moveBroke(event.attempt(), now);
            return;
        }
        List<Place> places = new ArrayList<>(lineage.places());
        places.set(move.stage(), new Place(move.to(), move.from().have()));
        lineage.adopt(places, 0);
        known.add(move.to().engine());
        cancel(move.from().stage().engine());
        actions.add(new RunAction.Count(Recovery.MOVE, 0));
        attempt(event.attempt(), now);
    }

    private void moveBroke(int number, long now) {
        if (phase != Phase.MOVING || number != highestAttempt) {
            return;
        }
        moves.refused();
        cancel(moves.pending().to().engine());
        send(false, now);
    }

    private void cancel(Instance engine) {
        Integer last = touched.remove(engine);
        if (last != null) {
            actions.add(new RunAction.Cancel(engine, last));
        }
    }

    private void broke(RunEvent.Broke event, long now) {
        truth.broke(event.call(), event.cause());
        boolean latest = call != null && event.call().number() == call.number();
        if (phase != Phase.CALLING || !latest) {
            return;
        }
        Place at = lineage.current();
        actions.add(
                new RunAction.Note(
                        new Detail.EndpointFailed(at.engine(), event.cause().toString())));
        switch (event.cause()) {
            case RefusedException refused -> refused(refused, now);
            case FailedException failed -> failed(failed, now);
            case InDoubtException doubt -> silent(now);
            default -> silent(now);
        }
    }

    private void refused(RefusedException cause, long now) {
        switch (cause.reason()) {
            case UNREACHABLE -> {
                actions.add(new RunAction.Unreachable(lineage.current().stage().engine()));
                suspect(now);
            }
            case DRAINING -> {
                actions.add(new RunAction.Leaving(lineage.current().stage().engine()));
                recoverWithout(lineage.current().engine(), now);
            }
            case OVERLOADED -> recoverWithout(lineage.current().engine(), now);
            case NOT_HELD, STALE -> lost(now);
            case INVALID -> finish(refusedAsInvalid(cause));
        }
    }

    private End refusedAsInvalid(RefusedException cause) {
        return truth.nothingRan()
                ? End.notRun(Reason.INVALID, cause.getMessage())
                : truth.end(cause.getMessage());
    }

    /** The engine is well but lost the state; it may get it back unless that happens again. */
    private void lost(long now) {
        InstanceId engine = lineage.current().engine();
        boolean neverHeld = lineage.current().have() == 0;
        if (neverHeld || strikes.merge(engine, 1, Integer::sum) >= GREATEST_STRIKES) {
            recoverWithout(engine, now);
        } else {
            recover(now);
        }
    }

    private void failed(FailedException cause, long now) {
        failures++;
        if (failures >= GREATEST_FAILURES) {
            finish(truth.end(cause.getMessage()));
        } else {
            recoverWithout(lineage.current().engine(), now);
        }
    }

    /** Nothing came back: a new connection first, the engine second. */
    private void silent(long now) {
        if (call.fresh()) {
            suspect(now);
            return;
        }
        actions.add(new RunAction.Count(Recovery.RESUME, 0));
        send(true, now);
    }

    private void timedOut(long now) {
        if (call.fresh()) {
            long nanos = now - call.sentNanos();
            actions.add(new RunAction.GiveUp(lineage.current().engine(), call, nanos));
        }
        silent(now);
    }

    private void suspect(long now) {
        InstanceId engine = lineage.current().engine();
        actions.add(new RunAction.Suspect(engine));
        recoverWithout(engine, now);
    }

    private void recoverWithout(InstanceId engine, long now) {
        avoid.put(engine, now + settings.avoid().toNanos());
        recover(now);
    }

    private void recover(long now) {
        if (!lineage.begun()) {
            begin(now);
            return;
        }
        if (exhausted(now)) {
            finish(truth.end("no engines could go on in time"));
            return;
        }
        Optional<Plan> plan = plans.best(lineage, view.get(), avoided(now));
        if (plan.isEmpty()) {
            await(now);
            return;
        }
        adopt(plan.get(), now);
    }

    private Set<InstanceId> avoided(long now) {
        avoid.values().removeIf(until -> until - now <= 0);
        return avoid.keySet();
    }

    private void adopt(Plan plan, long now) {
        recoveries++;
        lineage.adopt(plan.places(), plan.cursor());
        Set<InstanceId> kept = lineage.enginesBut(-1);
        List.copyOf(touched.keySet()).stream()
                .filter(engine -> !kept.contains(engine.id()))
                .forEach(this::cancel);
        actions.add(new RunAction.Count(plan.recovery(), plan.layerTokens()));
        attempt(++highestAttempt, now);
    }

    /** Waits for engines; asks the present one again meanwhile, for it may come back. */
    private void await(long now) {
        if (exhausted(now)) {
            finish(truth.end("no engines hold all layers of " + generation.model().id()));
            return;
        }
        if (lineage.begun() && mayAsk(lineage.current().stage().engine())) {
            issue(true, now);
        }
        phase = Phase.WAITING;
        long factor = 1L << Math.min(GREATEST_DOUBLINGS, waited);
        waited++;
        Duration backoff = settings.backoff().multipliedBy(factor);
        arm(backoff.compareTo(settings.maxBackoff()) < 0 ? backoff : settings.maxBackoff());
    }

    /** A run of which nothing ran is given up when its target has passed. */
    private boolean exhausted(long now) {
        Duration limit =
                truth.nothingRan() ? generation.workClass().target().first() : settings.patience();
        return now - progressNanos - limit.toNanos() >= 0;
    }

    private void fired(long number, long now) {
        if (number != timer) {
            return;
        }
        switch (phase) {
            case CALLING -> timedOut(now);
            case WAITING -> recover(now);
            case MOVING -> moveBroke(highestAttempt, now);
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
        lineage.forget();
        List.copyOf(touched.keySet()).forEach(this::cancel);
    }
}
