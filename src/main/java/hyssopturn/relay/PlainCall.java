package hyssopturn.relay;

import hyssopturn.admit.Ejection.Outcome;
import hyssopturn.fleet.Endpoint;
import hyssopturn.port.Clock;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SequencedMap;

/**
 * A request to a plain service, whose answer is passed on once it has been read completely.
 *
 * <p>A slow attempt goes on while another endpoint is tried: the first complete answer counts, and
 * the other attempts are then cancelled. Each endpoint gets at most one attempt.
 */
final class PlainCall extends Call {
    private static final String SLOW = "slow";

    private final ServiceLoad load;
    private final EndpointOutcomes outcomes;
    private final EndpointChoice choice;
    private final SequencedMap<Integer, Running> running = new LinkedHashMap<>();
    private int lastAttemptId;
    private Optional<Clock.Timer> slowTimer = Optional.empty();

    PlainCall(
            RelayContext context,
            HttpServerRequest request,
            Admitted admitted,
            EndpointChecks checks,
            ServiceLoad load,
            EndpointOutcomes outcomes) {
        super(context, request, admitted, checks);
        this.load = load;
        this.outcomes = outcomes;
        choice = new EndpointChoice(context, load, outcomes, admitted, excluded, this::mayAttempt);
    }

    /** An attempt in progress, with its request once the connection is open. */
    private record Running(
            int id,
            Endpoint endpoint,
            long begunNanos,
            boolean earlierMayHaveRun,
            Optional<HttpClientRequest> opened) {
        Running opened(HttpClientRequest request) {
            return new Running(id, endpoint, begunNanos, earlierMayHaveRun, Optional.of(request));
        }

        void reset() {
            opened.ifPresent(HttpClientRequest::reset);
        }
    }

    @Override
    void startAttempt() {
        Optional<Endpoint> found = choice.choose();
        if (found.isPresent()) {
            startAt(found.get());
        } else if (running.isEmpty()) {
            giveUp(lastFailureOr("no endpoint"));
        } else {
            watch(slowAfter());
        }
    }

    private void startAt(Endpoint endpoint) {
        stopWatch();
        Running started =
                new Running(++lastAttemptId, endpoint, now(), mayHaveRun(), Optional.empty());
        running.put(started.id(), started);
        excluded.add(endpoint.id());
        load.add(endpoint.id());
        outcomes.begin(endpoint);
        Attempt attempt =
                new Attempt(
                        endpoint,
                        Optional.empty(),
                        admitted.account(),
                        OptionalInt.empty(),
                        remaining(),
                        OptionalLong.empty());
        openRequest(attempt).onComplete(r -> send(started, r), e -> unreachable(started, e));
    }

    private void unreachable(Running attempt, Throwable error) {
        if (stale(attempt)) {
            return;
        }
        remove(attempt, Outcome.NONE);
        if (error instanceof UnsendableRequestException) {
            refuseUnsendable(attempt.endpoint());
            return;
        }
        openFailed(attempt.endpoint(), error);
        if (remaining().toMillis() > 0) {
            attempt();
        } else {
            giveUp("endpoint unreachable");
        }
    }

    private void send(Running attempt, HttpClientRequest opened) {
        if (stale(attempt)) {
            opened.reset();
            return;
        }
        if (paused(attempt.endpoint())) {
            opened.reset();
            remove(attempt, Outcome.NONE);
            withdraw(attempt.endpoint());
            attempt();
            return;
        }
        Running sent = attempt.opened(opened);
        running.put(sent.id(), sent);
        markSending();
        if (admitted.route().retryPolicy().allowsRetry()) {
            watch(slowAfter());
        }
        admitted.body()
                .send(opened)
                .onComplete(
                        r -> handleHead(sent, r),
                        e -> handleFailure(sent, "connection failed", Outcome.FAILURE));
    }

    private Duration slowAfter() {
        return HedgeDelay.first(admitted.route().target(), timeToAnswer());
    }

    /** Looks for another endpoint after a delay, and no earlier. */
    private void watch(Duration delay) {
        stopWatch();
        slowTimer = Optional.of(context.clock().after(delay, () -> handleSlow(delay)));
    }

    private void stopWatch() {
        slowTimer.ifPresent(Clock.Timer::cancel);
        slowTimer = Optional.empty();
    }

    /**
     * Sends a slow request to another endpoint as well if it may be. Otherwise it waits on and
     * looks again later, less and less often.
     */
    private void handleSlow(Duration delay) {
        if (ended() || running.isEmpty()) {
            return;
        }
        Endpoint slow = running.lastEntry().getValue().endpoint();
        Optional<String> obstacle = obstacleToAnother();
        if (obstacle.isPresent()) {
            keepAttempt(slow, SLOW, Optional.empty(), obstacle.get());
            watch(HedgeDelay.next(delay, timeToAnswer()));
            return;
        }
        joinAttempt(slow, SLOW, Optional.empty(), false);
        attempt();
    }

    private Optional<String> obstacleToAnother() {
        Optional<String> obstacle = retryObstacle();
        if (obstacle.isPresent()) {
            return obstacle;
        }
        return choice.candidates().findAny().isPresent()
                ? Optional.empty()
                : Optional.of("no other endpoint");
    }

    private boolean stale(Running attempt) {
        return ended() || !running.containsKey(attempt.id());
    }

    private void handleHead(Running attempt, HttpClientResponse answer) {
        if (stale(attempt)) {
            return;
        }
        EndpointReply reply =
                context.headerCodec().decodeReply(answer.statusCode(), answer.headers());
        context.notices().record(attempt.endpoint(), reply, attempt.begunNanos());
        if (reply.refuses(admitted.headers().id())) {
            // a later attempt may have run, whatever an earlier one says of itself
            if (attempt.id() == lastAttemptId) {
                markNotRun(attempt.earlierMayHaveRun());
            }
            handleFailure(attempt, "endpoint refused", refusal(reply));
            return;
        }
        BoundedBody.read(answer, context.clock(), context.answerMemory())
                .onComplete(
                        body -> handleBody(attempt, reply, answer, body),
                        e -> handleFailure(attempt, causeOf(e), outcomeOf(e)));
    }

    private static String causeOf(Throwable error) {
        return error instanceof BoundedBody.TooLongException
                ? error.getMessage()
                : "answer cut off";
    }

    /** Returns what an error shows about the endpoint: nothing if this node's limit was reached. */
    private static Outcome outcomeOf(Throwable error) {
        return error instanceof BoundedBody.TooLongException ? Outcome.NONE : Outcome.FAILURE;
    }

    /** Returns what a refusal shows: nothing more if the endpoint is paused for it. */
    private static Outcome refusal(EndpointReply reply) {
        return reply.notice().pause().isPresent() ? Outcome.NONE : Outcome.REFUSAL;
    }

    private void handleBody(
            Running attempt, EndpointReply reply, HttpClientResponse answer, Buffer body) {
        if (stale(attempt)) {
            return;
        }
        if (!reply.matches(admitted.headers().id())) {
            handleFailure(attempt, "foreign answer", Outcome.FAILURE);
            return;
        }
        if (endUnproved(answer)) {
            handleFailure(attempt, "end unproved", Outcome.NONE);
            return;
        }
        if (reply.unprovedRefusal()) {
            boolean paused = reply.notice().pause().isPresent();
            handleFailure(attempt, "unproved refusal", paused ? Outcome.NONE : Outcome.FAILURE);
            return;
        }
        if (reply.failure() && running.size() > 1) {
            handleFailure(attempt, "endpoint failed", Outcome.FAILURE);
            return;
        }
        remove(attempt, reply.failure() ? Outcome.FAILURE : Outcome.SUCCESS);
        if (reply.failure()
                && admitted.route().retryPolicy().allowsRetry()
                && choice.choose().isPresent()
                && acquireRetry(attempt.endpoint(), "endpoint failed", Optional.empty())) {
            attempt();
            return;
        }
        recordDelivery();
        finish(reply.success() ? "served" : "endpoint-status", reply.status(), "");
        release();
        response.setStatusCode(reply.status());
        HopByHopHeaders.copyEndToEnd(answer.headers(), response.headers());
        response.end(body);
    }

    /** Retries after a failed attempt, unless another attempt is in progress. */
    private void handleFailure(Running attempt, String cause, Outcome outcome) {
        if (stale(attempt)) {
            return;
        }
        attempt.reset();
        remove(attempt, outcome);
        if (!running.isEmpty()) {
            recordFailure(attempt.endpoint(), cause, "other attempt goes on");
            return;
        }
        if (acquireRetry(attempt.endpoint(), cause, Optional.empty())) {
            attempt();
        } else {
            giveUp(cause);
        }
    }

    private void remove(Running attempt, Outcome outcome) {
        running.remove(attempt.id());
        load.remove(attempt.endpoint().id());
        outcomes.record(attempt.endpoint(), outcome, attempt.begunNanos());
    }

    /** Returns what an attempt shows that was cancelled before its answer was complete. */
    private Outcome cancelledOutcome(Running attempt) {
        long silenceNanos = HedgeDelay.silence(admitted.route().target()).toNanos();
        return now() - attempt.begunNanos() >= silenceNanos ? Outcome.SILENCE : Outcome.NONE;
    }

    @Override
    void release() {
        stopWatch();
        List<Running> cancelled = List.copyOf(running.values());
        cancelled.forEach(a -> remove(a, cancelledOutcome(a)));
        cancelled.forEach(Running::reset);
    }

    @Override
    void expired() {
        giveUp("timeout");
    }
}
