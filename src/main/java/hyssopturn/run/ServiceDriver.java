package hyssopturn.run;

import hyssopturn.admit.Ejection;
import hyssopturn.admit.RetryBudget;
import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.helper.Causes;
import hyssopturn.member.View;
import hyssopturn.model.AnswerEvent;
import hyssopturn.port.Clock;
import hyssopturn.port.Instance;
import hyssopturn.port.RefusedException;
import hyssopturn.port.ServiceClient;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/** Calls plain services by performing the actions of {@link CallRun}. */
public final class ServiceDriver {
    private static final double HEDGE_QUANTILE = 0.95;
    private static final int MIN_SAMPLES = 32;
    private static final Duration DEFAULT_HEDGE_DELAY = Duration.ofMillis(200);
    private static final double NANOS_PER_MILLI = 1e6;

    private final Dependencies dependencies;
    private final Map<String, DecayingQuantile> durations = new ConcurrentHashMap<>();
    private final Map<String, Ejection> ejections = new ConcurrentHashMap<>();

    /**
     * Dependencies of the driver.
     *
     * @param services client of the services
     * @param view services that may be called
     * @param retryBudget budget of retries and hedges
     * @param endpointListener listener for the states of instances that calls detect
     * @param clock clock for durations and hedges
     * @param random distributes calls over instances
     * @param events records failures
     */
    public record Dependencies(
            ServiceClient services,
            Supplier<View> view,
            RetryBudget retryBudget,
            EndpointListener endpointListener,
            Clock clock,
            RandomGenerator random,
            EventRing events) {}

    /**
     * Creates the driver.
     *
     * @param dependencies the dependencies
     */
    public ServiceDriver(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Calls a service.
     *
     * @param work the call
     * @return the answer's body if there is one, then one end
     */
    public Multi<AnswerEvent> run(ServiceWork work) {
        return Uni.createFrom()
                .completionStage(() -> new Execution(work).start())
                .onItem()
                .transformToMulti(answer -> Multi.createFrom().iterable(answer));
    }

    private List<Instance> shuffled(String service) {
        List<Instance> instances = new ArrayList<>(dependencies.view.get().servicesNamed(service));
        for (int i = instances.size() - 1; i > 0; i--) {
            Collections.swap(instances, i, dependencies.random.nextInt(i + 1));
        }
        return instances;
    }

    /** Returns the instances in the order in which a call tries them: ejected ones last. */
    private List<Instance> ordered(ServiceWork work) {
        List<Instance> instances = shuffled(work.service());
        Ejection ejection = ejection(work.service());
        ejection.setEndpoints(
                instances.stream().map(ServiceDriver::startOf).collect(Collectors.toSet()));
        long now = dependencies.clock.nanos();
        Map<Boolean, List<Instance>> byAdmission =
                instances.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        i ->
                                                ejection.admits(
                                                        startOf(i), work.repeatable(), now)));
        List<Instance> ordered = new ArrayList<>(byAdmission.get(true));
        ordered.addAll(byAdmission.get(false));
        return ordered;
    }

    private Ejection ejection(String service) {
        return ejections.computeIfAbsent(service, name -> new Ejection());
    }

    private static Ejection.Start startOf(Instance instance) {
        return new Ejection.Start(instance.id(), instance.incarnation());
    }

    private void recordChange(Ejection.Change change) {
        String state = change.ejected() ? "ejected" : "returned";
        dependencies.events.record(new Detail.InstanceChanged(change.endpoint().id(), state));
    }

    /** Returns what the failure of a try shows about the instance. */
    private static Ejection.Outcome outcomeOf(Throwable error) {
        if (!(error instanceof RefusedException refused)) {
            return Ejection.Outcome.FAILURE;
        }
        return switch (refused.reason()) {
            case UNREACHABLE, DRAINING, INVALID -> Ejection.Outcome.NONE;
            case OVERLOADED, NOT_HELD, STALE -> Ejection.Outcome.REFUSAL;
        };
    }

    private Duration hedgeDelay(String service) {
        DecayingQuantile quantile = durations.get(service);
        if (quantile == null) {
            return DEFAULT_HEDGE_DELAY;
        }
        synchronized (quantile) {
            return quantile.samples() < MIN_SAMPLES
                    ? DEFAULT_HEDGE_DELAY
                    : Duration.ofNanos(
                            (long) (quantile.quantile(HEDGE_QUANTILE) * NANOS_PER_MILLI));
        }
    }

    private void recordDuration(String service, long nanos) {
        DecayingQuantile quantile = durations.computeIfAbsent(service, s -> new DecayingQuantile());
        synchronized (quantile) {
            quantile.add(nanos / NANOS_PER_MILLI);
        }
    }

    /** Runs one call; handles events one at a time, whichever threads post them. */
    private final class Execution {
        private final ServiceWork work;
        private final CallRun machine;
        private final CompletableFuture<List<AnswerEvent>> answer = new CompletableFuture<>();
        private final Queue<CallRun.Event> inbox = new ConcurrentLinkedQueue<>();
        private final AtomicInteger queuedEvents = new AtomicInteger();
        private Clock.Timer timer = () -> {};

        Execution(ServiceWork work) {
            this.work = work;
            machine =
                    new CallRun(
                            work,
                            ordered(work),
                            dependencies.retryBudget,
                            hedgeDelay(work.service()));
        }

        CompletableFuture<List<AnswerEvent>> start() {
            post(new CallRun.Event.Started());
            return answer;
        }

        private void post(CallRun.Event event) {
            inbox.add(event);
            if (queuedEvents.getAndIncrement() > 0) {
                return;
            }
            do {
                machine.on(inbox.remove(), dependencies.clock.nanos()).forEach(this::perform);
            } while (queuedEvents.decrementAndGet() > 0);
        }

        private void perform(CallRun.Action action) {
            switch (action) {
                case CallRun.Action.Send send -> send(send);
                case CallRun.Action.StartHedgeTimer(Duration delay) ->
                        timer =
                                dependencies.clock.after(
                                        delay, () -> post(new CallRun.Event.HedgeDelayPassed()));
                case CallRun.Action.RecordDuration(long nanos) ->
                        recordDuration(work.service(), nanos);
                case CallRun.Action.ReportUnreachable(Instance instance) ->
                        dependencies.endpointListener.onUnreachable(instance);
                case CallRun.Action.ReportLeaving(Instance instance) ->
                        dependencies.endpointListener.onLeaving(instance);
                case CallRun.Action.RecordEvent(var detail) ->
                        dependencies.events.record(work.call().request(), detail);
                case CallRun.Action.Finish(List<AnswerEvent> events) -> {
                    timer.cancel();
                    answer.complete(events);
                }
            }
        }

        private void send(CallRun.Action.Send send) {
            long begun = dependencies.clock.nanos();
            ejection(work.service()).begin(startOf(send.service()));
            dependencies
                    .services
                    .call(send.service().address(), work.call(), send.dial())
                    .whenComplete((result, error) -> handle(send, begun, result, error));
        }

        private void handle(
                CallRun.Action.Send send,
                long begun,
                ServiceClient.ServiceAnswer result,
                Throwable error) {
            if (error == null) {
                record(send, begun, Ejection.Outcome.SUCCESS);
                post(new CallRun.Event.Answered(send.number(), result));
                return;
            }
            Throwable cause = Causes.unwrap(error);
            record(send, begun, outcomeOf(cause));
            post(new CallRun.Event.Failed(send.number(), cause));
        }

        private void record(CallRun.Action.Send send, long begun, Ejection.Outcome outcome) {
            ejection(work.service())
                    .record(startOf(send.service()), outcome, begun, dependencies.clock.nanos())
                    .forEach(ServiceDriver.this::recordChange);
        }
    }
}
