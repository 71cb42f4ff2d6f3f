package hyssopturn.run;

import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.member.View;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Reason;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.FailedException;
import hyssopturn.port.Instance;
import hyssopturn.port.RefusedException;
import hyssopturn.port.ServiceClient;
import hyssopturn.port.ServiceClient.ServiceAnswer;
import hyssopturn.port.ServiceClient.ServiceCall;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Calls plain services; goes on to another instance only while the call certainly did not run. */
public final class ServiceDriver {
    private final ServiceClient services;
    private final Supplier<View> view;
    private final RandomGenerator random;
    private final EventRing events;

    /**
     * Creates the driver.
     *
     * @param services calls services
     * @param view services that may be called
     * @param random spreads calls over instances
     * @param events records failures
     */
    public ServiceDriver(
            ServiceClient services, Supplier<View> view, RandomGenerator random, EventRing events) {
        this.services = services;
        this.view = view;
        this.random = random;
        this.events = events;
    }

    /**
     * Calls a service.
     *
     * @param service name of the service
     * @param call the call
     * @param maySend asked right before each sending; once false, nothing is sent any more
     * @return the answer's body if there is one, then one end
     */
    public Multi<AnswerEvent> run(String service, ServiceCall call, BooleanSupplier maySend) {
        return Uni.createFrom()
                .completionStage(() -> call(service, call, maySend))
                .onItem()
                .transformToMulti(parts -> Multi.createFrom().iterable(parts));
    }

    private CompletableFuture<List<AnswerEvent>> call(
            String service, ServiceCall call, BooleanSupplier maySend) {
        List<Instance> candidates = new ArrayList<>(view.get().servicesNamed(service));
        CompletableFuture<List<AnswerEvent>> answer = new CompletableFuture<>();
        next(candidates, call, maySend, answer);
        return answer;
    }

    private void next(
            List<Instance> candidates,
            ServiceCall call,
            BooleanSupplier maySend,
            CompletableFuture<List<AnswerEvent>> answer) {
        if (candidates.isEmpty()) {
            String message = "no instance of the service takes the call";
            answer.complete(List.of(AnswerEvent.End.notRun(Reason.NO_ENDPOINT, message)));
            return;
        }
        if (!maySend.getAsBoolean()) {
            String message = "the time to send the call has passed";
            answer.complete(List.of(AnswerEvent.End.notRun(Reason.DEADLINE, message)));
            return;
        }
        Instance chosen = candidates.remove(random.nextInt(candidates.size()));
        services.call(chosen.address(), call, Dial.POOLED)
                .whenComplete(
                        (result, error) -> {
                            if (error == null) {
                                answer.complete(whole(result));
                                return;
                            }
                            Throwable cause =
                                    error instanceof CompletionException ? error.getCause() : error;
                            events.record(
                                    call.request(),
                                    new Detail.EndpointFailed(chosen.id(), cause.toString()));
                            if (cause instanceof RefusedException) {
                                next(candidates, call, maySend, answer);
                            } else {
                                answer.complete(List.of(end(cause)));
                            }
                        });
    }

    private static List<AnswerEvent> whole(ServiceAnswer result) {
        return List.of(new AnswerEvent.Body(result.body()), AnswerEvent.End.done());
    }

    private static AnswerEvent.End end(Throwable cause) {
        return cause instanceof FailedException
                ? AnswerEvent.End.failed(Reason.ENDPOINT_FAILED, cause.getMessage())
                : AnswerEvent.End.unknown(cause.getMessage());
    }
}
