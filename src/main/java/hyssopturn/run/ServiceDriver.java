package hyssopturn.run;

import hyssopturn.admit.RetryBudget;
import hyssopturn.event.EventRing;
import hyssopturn.helper.Causes;
import hyssopturn.member.View;
import hyssopturn.model.AnswerEvent;
import hyssopturn.port.Clock;
import hyssopturn.port.Instance;
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

/** Calls plain services: does what {@link CallRun} decides. */
public final class ServiceDriver {
    private static final double HEDGE_SHARE = 0.95;
    private static final int FEW_SAMPLES = 32;
    private static final Duration FIRST_HEDGE = Duration.ofMillis(200);
    private static final double NANOS_PER_MILLI = 1e6;

    private final Parts parts;
    private final Map<String, DecayingQuantile> spans = new ConcurrentHashMap<>();

    /**
     * What the driver needs.
     *
     * @param services calls services
     * @param view services that may be called
     * @param retries budget of sendings after the first
     * @param evidence takes in what calls show of services
     * @param clock time
     * @param random spreads calls over instances
     * @param events records failures
     */
    public record Parts(
            ServiceClient services,
            Supplier<View> view,
            RetryBudget retries,
            Evidence evidence,
            Clock clock,
            RandomGenerator random,
            EventRing events) {}

    /**
     * Creates the driver.
     *
     * @param parts what it needs
     */
    public ServiceDriver(Parts parts) {
        this.parts = parts;
    }

    /**
     * Calls a service.
     *
     * @param work the call
     * @return the answer's body if there is one, then one end
     */
    public Multi<AnswerEvent> run(ServiceWork work) {
        return Uni.createFrom()
                .completionStage(() -> new Shell(work).start())
                .onItem()
                .transformToMulti(answer -> Multi.createFrom().iterable(answer));
    }

    private List<Instance> shuffled(String service) {
        List<Instance> instances = new ArrayList<>(parts.view.get().servicesNamed(service));
        for (int i = instances.size() - 1; i > 0; i--) {
            Collections.swap(instances, i, parts.random.nextInt(i + 1));
        }
        return instances;
    }

    private Duration hedgeDelay(String service) {
        DecayingQuantile span = spans.get(service);
        if (span == null) {
            return FIRST_HEDGE;
        }
        synchronized (span) {
            return span.samples() < FEW_SAMPLES
                    ? FIRST_HEDGE
                    : Duration.ofNanos((long) (span.at(HEDGE_SHARE) * NANOS_PER_MILLI));
        }
    }

    private void learn(String service, long nanos) {
        DecayingQuantile span = spans.computeIfAbsent(service, s -> new DecayingQuantile());
        synchronized (span) {
            span.add(nanos / NANOS_PER_MILLI);
        }
    }

    /** Takes events in one at a time, whichever threads they come from. */
    private final class Shell {
        private final ServiceWork work;
        private final CallRun machine;
        private final CompletableFuture<List<AnswerEvent>> answer = new CompletableFuture<>();
        private final Queue<CallRun.Event> inbox = new ConcurrentLinkedQueue<>();
        private final AtomicInteger waiting = new AtomicInteger();
        private Clock.Timer timer = () -> {};

        Shell(ServiceWork work) {
            this.work = work;
            machine =
                    new CallRun(
                            work,
                            shuffled(work.service()),
                            parts.retries,
                            hedgeDelay(work.service()));
        }

        CompletableFuture<List<AnswerEvent>> start() {
            post(new CallRun.Event.Started());
            return answer;
        }

        private void post(CallRun.Event event) {
            inbox.add(event);
            if (waiting.getAndIncrement() > 0) {
                return;
            }
            do {
                machine.on(inbox.remove(), parts.clock.nanos()).forEach(this::perform);
            } while (waiting.decrementAndGet() > 0);
        }

        private void perform(CallRun.Action action) {
            switch (action) {
                case CallRun.Action.Send send -> send(send);
                case CallRun.Action.Watch(Duration delay) ->
                        timer = parts.clock.after(delay, () -> post(new CallRun.Event.Slow()));
                case CallRun.Action.Learn(long nanos) -> learn(work.service(), nanos);
                case CallRun.Action.Unreachable(Instance at) -> parts.evidence.unreachable(at);
                case CallRun.Action.Leaving(Instance at) -> parts.evidence.leaving(at);
                case CallRun.Action.Note(var detail) ->
                        parts.events.record(work.call().request(), detail);
                case CallRun.Action.Finish(List<AnswerEvent> whole) -> {
                    timer.cancel();
                    answer.complete(whole);
                }
            }
        }

        private void send(CallRun.Action.Send send) {
            parts.services
                    .call(send.service().address(), work.call(), send.dial())
                    .whenComplete(
                            (result, error) ->
                                    post(
                                            error == null
                                                    ? new CallRun.Event.Answered(
                                                            send.number(), result)
                                                    : new CallRun.Event.Broke(
                                                            send.number(), Causes.unwrap(error))));
        }
    }
}
