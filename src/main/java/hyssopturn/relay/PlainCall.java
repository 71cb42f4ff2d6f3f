package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.port.Clock;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** A request to a plain service: one whole answer, passed on when all of it has come. */
final class PlainCall extends Call {
    /** Targets after which a repeatable request is offered to another endpoint. */
    private static final int PATIENCE_TARGETS = 2;

    private final ServiceLoad load;
    private Optional<Endpoint> current = Optional.empty();
    private Optional<Clock.Timer> patience = Optional.empty();

    PlainCall(RelayParts parts, HttpServerRequest request, Admitted admitted, ServiceLoad load) {
        super(parts, request, admitted);
        this.load = load;
    }

    @Override
    void offer() {
        Optional<Endpoint> choice = choose();
        if (choice.isEmpty()) {
            giveUp(failure("no endpoint"));
            return;
        }
        Endpoint endpoint = choice.get();
        boolean earlier = mayHaveRun();
        current = choice;
        load.add(endpoint.id());
        Offer offer =
                new Offer(
                        endpoint,
                        Optional.empty(),
                        admitted.account(),
                        left(),
                        OptionalLong.empty());
        open(offer).onComplete(r -> send(endpoint, earlier, r), e -> unreachable(endpoint, e));
    }

    /** The least loaded of this node's requests; those of the own zone first among equals. */
    private Optional<Endpoint> choose() {
        List<Endpoint> usable =
                parts.knowledge().roster().usable(admitted.service(), now()).stream()
                        .filter(e -> !excluded.contains(e.id()) && mayOffer(e))
                        .toList();
        return usable.stream()
                .min(
                        Comparator.comparingInt((Endpoint e) -> load.at(e.id()))
                                .thenComparing(e -> !e.zone().equals(parts.settings().zone()))
                                .thenComparing(Endpoint::id));
    }

    private void unreachable(Endpoint endpoint, Throwable error) {
        if (ended()) {
            return;
        }
        unsent(endpoint, error);
        if (left().toMillis() > 0) {
            offer();
        } else {
            giveUp("endpoint unreachable");
        }
    }

    private void send(Endpoint endpoint, boolean earlier, HttpClientRequest opened) {
        if (ended()) {
            opened.reset();
            return;
        }
        sending();
        if (admitted.route().retryPolicy().allowsRetry()) {
            Duration wait = admitted.route().target().multipliedBy(PATIENCE_TARGETS);
            patience = Optional.of(parts.clock().after(wait, () -> slow(endpoint)));
        }
        opened.send(admitted.body())
                .onComplete(
                        r -> head(endpoint, earlier, opened, r),
                        e -> failed(endpoint, opened, "connection failed"));
    }

    private void slow(Endpoint endpoint) {
        if (ended() || !current(endpoint) || !again(endpoint, "slow", Optional.empty())) {
            return;
        }
        excluded.add(endpoint.id());
        cancelUpstream();
        offer();
    }

    /** Each endpoint gets at most one attempt, so it names the attempt in progress. */
    private boolean current(Endpoint endpoint) {
        return current.filter(endpoint::equals).isPresent();
    }

    private void head(
            Endpoint endpoint,
            boolean earlier,
            HttpClientRequest opened,
            HttpClientResponse answer) {
        EndpointReply reply = parts.dialect().reply(answer.statusCode(), answer.headers());
        if (ended()) {
            return;
        }
        if (reply.notRun()) {
            opened.reset();
            provedNotRun(earlier);
            failed(endpoint, opened, "endpoint refused");
            return;
        }
        BoundedBody.read(answer)
                .onComplete(
                        body -> whole(endpoint, opened, reply, answer, body),
                        e -> failed(endpoint, opened, "answer cut off"));
    }

    private void whole(
            Endpoint endpoint,
            HttpClientRequest opened,
            EndpointReply reply,
            HttpClientResponse answer,
            Buffer body) {
        if (ended()) {
            return;
        }
        if (!reply.answers(admitted.headers().id())) {
            failed(endpoint, opened, "foreign answer");
            return;
        }
        if (reply.unprovedRefusal()) {
            failed(endpoint, opened, "unproved refusal");
            return;
        }
        excluded.add(endpoint.id());
        if (reply.failure()
                && admitted.route().retryPolicy().allowsRetry()
                && choose().isPresent()
                && again(endpoint, "endpoint failed", Optional.empty())) {
            upstreamDone();
            offer();
            return;
        }
        part();
        finish(reply.success() ? "served" : "endpoint-status", reply.status(), "");
        upstreamDone();
        response.setStatusCode(reply.status());
        HopHeaders.copyOthers(answer.headers(), response.headers());
        response.end(body);
    }

    private void failed(Endpoint endpoint, HttpClientRequest opened, String cause) {
        if (ended() || !current(endpoint)) {
            return;
        }
        opened.reset();
        upstreamDone();
        excluded.add(endpoint.id());
        if (again(endpoint, cause, Optional.empty())) {
            offer();
        } else {
            giveUp(cause);
        }
    }

    @Override
    void release() {
        current.ifPresent(e -> load.remove(e.id()));
        current = Optional.empty();
        patience.ifPresent(Clock.Timer::cancel);
        patience = Optional.empty();
    }

    @Override
    void expired() {
        giveUp("timeout");
    }
}
