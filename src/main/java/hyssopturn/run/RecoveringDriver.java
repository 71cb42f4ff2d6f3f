package hyssopturn.run;

import hyssopturn.event.EventRing;
import hyssopturn.helper.Causes;
import hyssopturn.member.View;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.InstanceId;
import hyssopturn.model.RequestId;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient;
import hyssopturn.port.Instance;
import hyssopturn.route.EngineCosts;
import hyssopturn.route.Routes;

import io.micrometer.core.instrument.MeterRegistry;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.BackPressureStrategy;
import io.smallrye.mutiny.subscription.MultiEmitter;

import java.time.Duration;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** Driver that recovers lost stages: does what {@link StreamRun} decides. */
public final class RecoveringDriver implements Driver {
    private static final int CANCEL_TRIES = 4;
    private static final Duration CANCEL_BACKOFF = Duration.ofSeconds(1);

    private final Parts parts;
    private final WaitBounds waits = new WaitBounds();
    private final ActivationBudget budget;
    private final RunSettings settings;
    private final UnaryOperator<RunMachine> wrapper;

    /**
     * What the driver needs.
     *
     * @param engines calls engines
     * @param routes chooses chains and replacements
     * @param costs learns what steps cost
     * @param view engines that may be chosen
     * @param evidence takes in what steps show of engines
     * @param clock time
     * @param events records attempts and failures
     * @param meters counts recoveries
     */
    public record Parts(
            EngineClient engines,
            Routes routes,
            EngineCosts costs,
            Supplier<View> view,
            Evidence evidence,
            Clock clock,
            EventRing events,
            MeterRegistry meters) {}

    /**
     * Creates the driver.
     *
     * @param parts what it needs
     * @param budget bytes for activations kept for replay
     * @param settings settings of the recovery
     */
    public RecoveringDriver(Parts parts, ActivationBudget budget, RunSettings settings) {
        this(parts, budget, settings, UnaryOperator.identity());
    }

    RecoveringDriver(
            Parts parts,
            ActivationBudget budget,
            RunSettings settings,
            UnaryOperator<RunMachine> wrapper) {
        this.parts = parts;
        this.budget = budget;
        this.settings = settings;
        this.wrapper = wrapper;
    }

    @Override
    public Multi<AnswerEvent> run(Generation generation) {
        return Multi.createFrom()
                .emitter(
                        emitter -> new Shell(generation, emitter).start(),
                        BackPressureStrategy.BUFFER);
    }

    private RunMachine machine(Generation generation) {
        return wrapper.apply(
                new StreamRun(generation, parts.routes, parts.view, waits, budget, settings));
    }

    /** Takes events in one at a time, whichever threads they come from. */
    private final class Shell {
        private final RequestId request;
        private final RunMachine machine;
        private final MultiEmitter<? super AnswerEvent> emitter;
        private final Queue<RunEvent> inbox = new ConcurrentLinkedQueue<>();
        private final AtomicInteger waiting = new AtomicInteger();
        private final Set<InstanceId> held = new HashSet<>();
        private Clock.Timer timer = () -> {};

        Shell(Generation generation, MultiEmitter<? super AnswerEvent> emitter) {
            request = generation.request();
            machine = machine(generation);
            this.emitter = emitter;
        }

        void start() {
            emitter.onTermination(() -> post(new RunEvent.Cancelled()));
            post(new RunEvent.Started());
        }

        private void post(RunEvent event) {
            inbox.add(event);
            if (waiting.getAndIncrement() > 0) {
                return;
            }
            do {
                machine.on(inbox.remove(), parts.clock.nanos()).forEach(this::perform);
            } while (waiting.decrementAndGet() > 0);
        }

        private void perform(RunAction action) {
            switch (action) {
                case RunAction.Send send -> send(send);
                case RunAction.Move move -> move(move);
                case RunAction.Cancel(Instance engine, int attempt) -> cancel(engine, attempt);
                case RunAction.Emit(AnswerEvent event) -> emit(event);
                case RunAction.Arm(long number, Duration delay) -> arm(number, delay);
                case RunAction.Learn learn -> learn(learn);
                case RunAction.GiveUp(var engine, StepCall call, long nanos) ->
                        waits.gaveUp(engine, call.count(), nanos, call.predicted());
                case RunAction.Suspect(var engine) -> parts.costs.suspected(engine);
                case RunAction.Unreachable(Instance engine) -> parts.evidence.unreachable(engine);
                case RunAction.Leaving(Instance engine) -> parts.evidence.leaving(engine);
                case RunAction.Note(var detail) -> parts.events.record(request, detail);
                case RunAction.Count(Recovery recovery, long again) -> count(recovery, again);
            }
        }

        private void send(RunAction.Send send) {
            if (held.add(send.engine().id())) {
                parts.costs.assigned(send.engine().id(), 1);
            }
            parts.engines
                    .step(send.engine().address(), send.step(), send.dial())
                    .whenComplete(
                            (result, error) ->
                                    post(
                                            error == null
                                                    ? new RunEvent.Answered(send.call(), result)
                                                    : new RunEvent.Broke(
                                                            send.call(), Causes.unwrap(error))));
        }

        private void move(RunAction.Move move) {
            parts.engines
                    .exportKv(move.from().address(), request, move.layers())
                    .thenCompose(
                            state ->
                                    parts.engines
                                            .importKv(
                                                    move.to().address(),
                                                    request,
                                                    move.attempt(),
                                                    state)
                                            .thenApply(done -> state.position()))
                    .whenComplete(
                            (position, error) ->
                                    post(
                                            error == null
                                                    ? new RunEvent.Moved(
                                                            move.attempt(),
                                                            move.to().id(),
                                                            position)
                                                    : new RunEvent.MoveBroke(
                                                            move.attempt(), Causes.unwrap(error))));
        }

        private void cancel(Instance engine, int attempt) {
            if (held.remove(engine.id())) {
                parts.costs.assigned(engine.id(), -1);
            }
            cancel(engine, attempt, 1);
        }

        private void cancel(Instance engine, int attempt, int number) {
            parts.engines
                    .cancel(engine.address(), request, attempt)
                    .whenComplete(
                            (done, error) -> {
                                if (error != null && number < CANCEL_TRIES) {
                                    parts.clock.after(
                                            CANCEL_BACKOFF.multipliedBy(number),
                                            () -> cancel(engine, attempt, number + 1));
                                }
                            });
        }

        private void emit(AnswerEvent event) {
            emitter.emit(event);
            if (event instanceof AnswerEvent.End) {
                timer.cancel();
                emitter.complete();
            }
        }

        private void arm(long number, Duration delay) {
            timer.cancel();
            timer = parts.clock.after(delay, () -> post(new RunEvent.Fired(number)));
        }

        private void learn(RunAction.Learn learn) {
            StepCall call = learn.call();
            parts.costs.observed(learn.engine(), learn.layers(), call.count(), learn.nanos());
            waits.observed(learn.engine(), call.count(), learn.nanos(), call.predicted());
        }

        private void count(Recovery recovery, long again) {
            parts.meters.counter("hyssopturn.run.recoveries", "kind", recovery.label()).increment();
            parts.meters
                    .counter("hyssopturn.run.recomputed.layer.tokens", "kind", recovery.label())
                    .increment((double) again);
        }
    }
}
