package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;
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
import java.util.stream.Stream;

/** A request to a plain service, whose answer is passed on once it has been read completely. */
final class PlainCall extends Call {
    /** Multiple of the route's target time after which a repeatable request is sent elsewhere. */
    private static final int SLOW_TARGETS = 2;

    /** Least time before another endpoint is looked for again. */
    private static final Duration MIN_RECHECK_DELAY = Duration.ofMillis(100);

    private static final String SLOW = "slow";

    private final ServiceLoad load;
    private Optional<Endpoint> current = Optional.empty();
    private Optional<Clock.Timer> slowTimer = Optional.empty();

    PlainCall(
            RelayContext context,
            HttpServerRequest request,
            Admitted admitted,
            EndpointChecks checks,
            ServiceLoad load) {
        super(context, request, admitted, checks);
        this.load = load;
    }

    @Override
    void startAttempt() {
        Optional<Endpoint> choice = choose();
        if (choice.isEmpty()) {
            giveUp(lastFailureOr("no endpoint"));
            return;
        }
        Endpoint endpoint = choice.get();
        boolean earlierMayHaveRun = mayHaveRun();
        current = choice;
        load.add(endpoint.id());
        Attempt attempt =
                new Attempt(
                        endpoint,
                        Optional.empty(),
                        admitted.account(),
                        remaining(),
                        OptionalLong.empty());
        openRequest(attempt)
                .onComplete(
                        r -> send(endpoint, earlierMayHaveRun, r), e -> unreachable(endpoint, e));
    }

    /**
     * Chooses the endpoint with the fewest requests of this node, preferably in its own zone. If
     * there is no other, it may be one that only other nodes suspect.
     */
    private Optional<Endpoint> choose() {
        Roster roster = context.routingState().roster();
        return leastLoaded(candidates())
                .or(() -> leastLoaded(allowed(roster.usableOrReported(admitted.service(), now()))));
    }

    private Optional<Endpoint> leastLoaded(Stream<Endpoint> endpoints) {
        return endpoints.min(
                Comparator.comparingInt((Endpoint e) -> load.requestsAt(e.id()))
                        .thenComparing(e -> !e.zone().equals(context.settings().zone()))
                        .thenComparing(Endpoint::id));
    }

    private Stream<Endpoint> candidates() {
        return allowed(context.routingState().roster().usable(admitted.service(), now()));
    }

    private Stream<Endpoint> allowed(List<Endpoint> endpoints) {
        return endpoints.stream().filter(e -> !excluded.contains(e.id()) && mayAttempt(e));
    }

    private void unreachable(Endpoint endpoint, Throwable error) {
        if (ended()) {
            return;
        }
        connectFailed(endpoint, error);
        if (remaining().toMillis() > 0) {
            attempt();
        } else {
            giveUp("endpoint unreachable");
        }
    }

    private void send(Endpoint endpoint, boolean earlierMayHaveRun, HttpClientRequest opened) {
        if (ended()) {
            opened.reset();
            return;
        }
        markSending();
        if (admitted.route().retryPolicy().allowsRetry()) {
            watch(endpoint, admitted.route().target().multipliedBy(SLOW_TARGETS));
        }
        opened.send(admitted.body())
                .onComplete(
                        r -> handleHead(endpoint, earlierMayHaveRun, opened, r),
                        e -> handleFailure(endpoint, opened, "connection failed"));
    }

    private void watch(Endpoint endpoint, Duration delay) {
        slowTimer = Optional.of(context.clock().after(delay, () -> handleSlow(endpoint, delay)));
    }

    /**
     * Leaves a slow endpoint if the request may be sent to another one. Otherwise it waits on and
     * looks again later, less and less often.
     */
    private void handleSlow(Endpoint endpoint, Duration delay) {
        if (ended() || !current(endpoint)) {
            return;
        }
        Optional<String> obstacle = obstacleToLeaving(endpoint);
        if (obstacle.isPresent()) {
            keepAttempt(endpoint, SLOW, Optional.empty(), obstacle.get());
            watch(endpoint, delay.multipliedBy(2).plus(MIN_RECHECK_DELAY));
            return;
        }
        excluded.add(endpoint.id());
        replaceAttempt(endpoint, SLOW, Optional.empty());
        cancelUpstream();
        attempt();
    }

    private Optional<String> obstacleToLeaving(Endpoint endpoint) {
        Optional<String> obstacle = retryObstacle();
        if (obstacle.isPresent()) {
            return obstacle;
        }
        boolean otherExists = candidates().anyMatch(e -> !e.id().equals(endpoint.id()));
        return otherExists ? Optional.empty() : Optional.of("no other endpoint");
    }

    /**
     * Returns whether the attempt in progress is at the endpoint. Each endpoint gets at most one
     * attempt, so the endpoint identifies the attempt.
     */
    private boolean current(Endpoint endpoint) {
        return current.filter(endpoint::equals).isPresent();
    }

    private void handleHead(
            Endpoint endpoint,
            boolean earlierMayHaveRun,
            HttpClientRequest opened,
            HttpClientResponse answer) {
        EndpointReply reply =
                context.headerCodec().decodeReply(answer.statusCode(), answer.headers());
        if (ended()) {
            return;
        }
        if (reply.refuses(admitted.headers().id())) {
            opened.reset();
            markNotRun(earlierMayHaveRun);
            handleFailure(endpoint, opened, "endpoint refused");
            return;
        }
        BoundedBody.read(answer)
                .onComplete(
                        body -> handleBody(endpoint, opened, reply, answer, body),
                        e -> handleFailure(endpoint, opened, "answer cut off"));
    }

    private void handleBody(
            Endpoint endpoint,
            HttpClientRequest opened,
            EndpointReply reply,
            HttpClientResponse answer,
            Buffer body) {
        if (ended()) {
            return;
        }
        if (!reply.matches(admitted.headers().id())) {
            handleFailure(endpoint, opened, "foreign answer");
            return;
        }
        if (reply.unprovedRefusal()) {
            handleFailure(endpoint, opened, "unproved refusal");
            return;
        }
        excluded.add(endpoint.id());
        if (reply.failure()
                && admitted.route().retryPolicy().allowsRetry()
                && choose().isPresent()
                && acquireRetry(endpoint, "endpoint failed", Optional.empty())) {
            clearUpstream();
            attempt();
            return;
        }
        recordDelivery();
        finish(reply.success() ? "served" : "endpoint-status", reply.status(), "");
        clearUpstream();
        response.setStatusCode(reply.status());
        HopByHopHeaders.copyEndToEnd(answer.headers(), response.headers());
        response.end(body);
    }

    private void handleFailure(Endpoint endpoint, HttpClientRequest opened, String cause) {
        if (ended() || !current(endpoint)) {
            return;
        }
        opened.reset();
        clearUpstream();
        excluded.add(endpoint.id());
        if (acquireRetry(endpoint, cause, Optional.empty())) {
            attempt();
        } else {
            giveUp(cause);
        }
    }

    @Override
    void release() {
        current.ifPresent(e -> load.remove(e.id()));
        current = Optional.empty();
        slowTimer.ifPresent(Clock.Timer::cancel);
        slowTimer = Optional.empty();
    }

    @Override
    void expired() {
        giveUp("timeout");
    }
}
