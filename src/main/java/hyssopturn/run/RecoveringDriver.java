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

/** Driver that recovers lost stages by performing the actions of {@link StreamRun}. */
public final class RecoveringDriver implements Driver {
    private static final int CANCEL_TRIES = 4;
    private static final Duration CANCEL_BACKOFF = Duration.ofSeconds(1);

    private final Dependencies dependencies;
    private final StepTimeouts stepTimeouts = new StepTimeouts();
    private final ActivationBudget budget;
    private final RunSettings settings;
    private final UnaryOperator<RunMachine> wrapper;

    /**
     * Dependencies of the driver.
     *
     * @param engines client of the engines
     * @param routes chooses chains and replacements
     * @param costs records the durations of steps
     * @param view engines that may be chosen
     * @param endpointListener listener for the states of engines that steps detect
     * @param clock clock for durations and timers
     * @param events records attempts and failures
     * @param meters counts recoveries
     */
    public record Dependencies(
            EngineClient engines,
            Routes routes,
            EngineCosts costs,
            Supplier<View> view,
            EndpointListener endpointListener,
            Clock clock,
            EventRing events,
            MeterRegistry meters) {}

    /**
     * Creates the driver.
     *
     * @param dependencies the dependencies
     * @param budget limit on the activations kept for replay
     * @param settings settings of the recovery
     */
    public RecoveringDriver(
            Dependencies dependencies, ActivationBudget budget, RunSettings settings) {
        this(dependencies, budget, settings, UnaryOperator.identity());
    }

    RecoveringDriver(
            Dependencies dependencies,
            ActivationBudget budget,
            RunSettings settings,
            UnaryOperator<RunMachine> wrapper) {
        this.dependencies = dependencies;
        this.budget = budget;
        this.settings = settings;
        this.wrapper = wrapper;
    }

    @Override
    public Multi<AnswerEvent> run(Generation generation) {
        return Multi.createFrom()
                .emitter(
                        emitter -> new Execution(generation, emitter).start(),
                        BackPressureStrategy.BUFFER);
    }

    private RunMachine machine(Generation generation) {
        return wrapper.apply(
                new StreamRun(
                        generation,
                        dependencies.routes,
                        dependencies.view,
                        stepTimeouts,
                        budget,
                        settings));
    }

    /** Executes one run; handles events one at a time, whichever threads post them. */
    private final class Execution {
        private final RequestId request;
        private final RunMachine machine;
        private final MultiEmitter<? super AnswerEvent> emitter;
        private final Queue<RunEvent> inbox = new ConcurrentLinkedQueue<>();
        private final AtomicInteger queuedEvents = new AtomicInteger();
        private final Set<InstanceId> assignedEngines = new HashSet<>();
        private Clock.Timer timer = () -> {};

        Execution(Generation generation, MultiEmitter<? super AnswerEvent> emitter) {
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
            if (queuedEvents.getAndIncrement() > 0) {
                return;
            }
            do {
                machine.on(inbox.remove(), dependencies.clock.nanos()).forEach(this::perform);
            } while (queuedEvents.decrementAndGet() > 0);
        }

        private void perform(RunAction action) {
            switch (action) {
                case RunAction.Send send -> send(send);
                case RunAction.Move move -> move(move);
                case RunAction.Cancel(Instance engine, int attempt) -> cancel(engine, attempt);
                case RunAction.Emit(AnswerEvent event) -> emit(event);
                case RunAction.SetTimer(long number, Duration delay) -> setTimer(number, delay);
                case RunAction.RecordDuration measured -> recordDuration(measured);
                case RunAction.RecordTimeout(var engine, StepCall call, long nanos) ->
                        stepTimeouts.recordTimeout(
                                engine, call.count(), nanos, call.predictedNanos());
                case RunAction.ReportSuspect(var engine) -> dependencies.costs.suspected(engine);
                case RunAction.ReportUnreachable(Instance engine) ->
                        dependencies.endpointListener.onUnreachable(engine);
                case RunAction.ReportLeaving(Instance engine) ->
                        dependencies.endpointListener.onLeaving(engine);
                case RunAction.RecordEvent(var detail) ->
                        dependencies.events.record(request, detail);
                case RunAction.CountRecovery(Recovery recovery, long layerTokens) ->
                        countRecovery(recovery, layerTokens);
            }
        }

        private void send(RunAction.Send send) {
            if (assignedEngines.add(send.engine().id())) {
                dependencies.costs.assigned(send.engine().id(), 1);
            }
            dependencies
                    .engines
                    .step(send.engine().address(), send.step(), send.dial())
                    .whenComplete(
                            (result, error) ->
                                    post(
                                            error == null
                                                    ? new RunEvent.Answered(send.call(), result)
                                                    : new RunEvent.Failed(
                                                            send.call(), Causes.unwrap(error))));
        }

        private void move(RunAction.Move move) {
            dependencies
                    .engines
                    .exportKv(move.from().address(), request, move.layers())
                    .thenCompose(
                            state ->
                                    dependencies
                                            .engines
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
                                                    : new RunEvent.MoveFailed(
                                                            move.attempt(), Causes.unwrap(error))));
        }

        private void cancel(Instance engine, int attempt) {
            if (assignedEngines.remove(engine.id())) {
                dependencies.costs.assigned(engine.id(), -1);
            }
            cancel(engine, attempt, 1);
        }

        private void cancel(Instance engine, int attempt, int number) {
            dependencies
                    .engines
                    .cancel(engine.address(), request, attempt)
                    .whenComplete(
                            (done, error) -> {
                                if (error != null && number < CANCEL_TRIES) {
                                    dependencies.clock.after(
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

        private void setTimer(long number, Duration delay) {
            timer.cancel();
            timer = dependencies.clock.after(delay, () -> post(new RunEvent.TimerFired(number)));
        }

        private void recordDuration(RunAction.RecordDuration measured) {
            StepCall call = measured.call();
            dependencies.costs.observed(
                    measured.engine(), measured.layers(), call.count(), measured.nanos());
            stepTimeouts.recordDuration(
                    measured.engine(), call.count(), measured.nanos(), call.predictedNanos());
        }

        private void countRecovery(Recovery recovery, long layerTokens) {
            dependencies
                    .meters
                    .counter("hyssopturn.run.recoveries", "kind", recovery.label())
                    .increment();
            dependencies
                    .meters
                    .counter("hyssopturn.run.recomputed.layer.tokens", "kind", recovery.label())
                    .increment((double) layerTokens);
        }
    }
}
