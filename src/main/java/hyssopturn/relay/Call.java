package hyssopturn.relay;

import com.google.common.flogger.FluentLogger;

import hyssopturn.catalog.Account;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.fleet.Roster;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.trace.TraceEvent;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * One request of a caller, from its admission to its single answer.
 *
 * <p>An answer states that the request has not run only if no endpoint may have run it.
 */
abstract class Call {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    static final int BAD_REQUEST = 400;
    static final int INTERNAL_ERROR = 500;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    /** Maximum number of times that a request is sent, including repeats to the same endpoint. */
    private static final int MAX_ATTEMPTS = 4;

    /** Time over which callers are spread that return when a pause ends. */
    private static final Duration RETRY_SPREAD = Duration.ofMillis(500);

    /** Time over which callers are spread that return to endpoints with a limit. */
    private static final Duration LIMIT_RETRY_SPREAD = Duration.ofSeconds(2);

    private static final String RETRY = "retry";
    private static final String NODE_STOPS = "node stops";
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    final RelayContext context;
    final HttpServerRequest request;
    final HttpServerResponse response;
    final Admitted admitted;
    private final EndpointChecks checks;
    private final AttemptOpener opener;
    final Set<InstanceId> excluded = new HashSet<>();
    private final AttemptedEndpoints attemptedEndpoints = new AttemptedEndpoints();
    private int attempts;
    private int refusals;
    private int uncounted;
    private Clock.Timer deadlineTimer;
    private boolean mayHaveRun;
    private boolean ended;
    private long firstPartNanos = -1;
    private long lastPartNanos;
    private long maxPauseNanos;
    private long firstOpeningNanos = Long.MAX_VALUE;
    private Optional<String> lastFailure = Optional.empty();

    Call(
            RelayContext context,
            HttpServerRequest request,
            Admitted admitted,
            EndpointChecks checks) {
        this.context = context;
        this.checks = checks;
        this.request = request;
        this.response = request.response();
        this.admitted = admitted;
        opener = new AttemptOpener(context, request, admitted);
        deadlineTimer = context.clock().after(timeToAnswer(), this::answerDue);
        response.closeHandler(v -> callerDisconnected());
        response.exceptionHandler(e -> callerDisconnected());
    }

    /** Sends the request to an endpoint, or gives up if there is none. */
    abstract void startAttempt();

    /** Starts the next attempt. */
    final void attempt() {
        guarded(this::startAttempt);
    }

    /** Runs a step of the request; an unexpected error ends this request alone. */
    final void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("request %s failed", admitted.id());
            respond(
                    INTERNAL_ERROR,
                    e.getClass().getSimpleName(),
                    "error",
                    MultiMap.caseInsensitiveMultiMap());
        }
    }

    /** Cancels the attempts in progress and releases what they hold. */
    abstract void release();

    /** Handles the expiry of the request's timeout. */
    abstract void expired();

    /** Ends a request without an answer; one that has begun may go on until its caller leaves. */
    private void answerDue() {
        if (response.headWritten()) {
            deadlineTimer = context.clock().after(remaining(), this::expired);
        } else {
            expired();
        }
    }

    final long now() {
        return context.clock().nanos();
    }

    final Duration remaining() {
        return admitted.timeout().minus(elapsed());
    }

    /** Returns the time that is left for an answer that has not begun. */
    final Duration timeToAnswer() {
        return admitted.timeToAnswer().minus(elapsed());
    }

    private Duration elapsed() {
        return Duration.ofNanos(now() - admitted.arrivedNanos());
    }

    final boolean ended() {
        return ended;
    }

    final boolean mayHaveRun() {
        return mayHaveRun;
    }

    final boolean repeatable() {
        return !mayHaveRun || admitted.route().retryPolicy().allowsRetry();
    }

    /** Records the time at which a part of the answer is sent to the caller. */
    final void recordDelivery() {
        long now = now();
        if (firstPartNanos < 0) {
            firstPartNanos = now;
        } else {
            maxPauseNanos = Math.max(maxPauseNanos, now - lastPartNanos);
        }
        lastPartNanos = now;
    }

    /** Returns the time at which the last part of the answer was sent to the caller. */
    final long lastDeliveryNanos() {
        return lastPartNanos;
    }

    /** Returns the cause of the last failed attempt, or the given cause if none has failed. */
    final String lastFailureOr(String defaultCause) {
        return lastFailure.orElse(limitReached() ? "limits reached" : defaultCause);
    }

    /** Returns whether an endpoint was not used since its limit was reached. */
    private boolean limitReached() {
        return firstOpeningNanos != Long.MAX_VALUE;
    }

    /**
     * Opens a request to the endpoint; if the future fails, nothing was sent. It fails with a
     * {@link LimitReachedException} if the endpoint's limit on the requests of all nodes is
     * reached.
     */
    final Future<HttpClientRequest> openRequest(Attempt attempt) {
        attempts++;
        attemptedEndpoints.add(attempt.endpoint());
        return Future.fromCompletionStage(context.limits().acquire(attempt.endpoint()))
                .compose(
                        granted ->
                                granted && !ended
                                        ? opener.open(attempt, attempts)
                                        : Future.failedFuture(new LimitReachedException()));
    }

    /** Ends a request whose head cannot be encoded, which shows nothing about the endpoint. */
    final void refuseUnsendable(Endpoint endpoint) {
        withdraw(endpoint);
        context.meters().counter("hyssopturn.requests.unsendable").increment();
        respond(
                BAD_REQUEST,
                "head cannot be encoded",
                "refused",
                MultiMap.caseInsensitiveMultiMap());
    }

    /**
     * Returns whether an answer ends with a connection to another node, whose own end may have cut
     * it off.
     */
    final boolean endUnproved(HttpClientResponse answer) {
        return context.client().indirect(answer.request())
                && !answer.headers().contains(HttpHeaders.CONTENT_LENGTH)
                && !answer.headers().contains(HttpHeaders.TRANSFER_ENCODING);
    }

    /** Returns whether the route, and the endpoint's limit, allow an attempt at the endpoint. */
    final boolean mayAttempt(Endpoint endpoint) {
        return (attemptedEndpoints.contains(endpoint) || mayAttemptAnother()) && open(endpoint);
    }

    /** Returns whether an endpoint may have room within its limit, and notes when it may if not. */
    private boolean open(Endpoint endpoint) {
        Optional<Duration> closed = context.limits().closedFor(endpoint);
        closed.map(left -> now() + left.toNanos())
                .ifPresent(opens -> firstOpeningNanos = Math.min(firstOpeningNanos, opens));
        return closed.isEmpty();
    }

    private boolean mayAttemptAnother() {
        return attemptedEndpoints.count(this::gone) < admitted.route().maxAttempts();
    }

    /** Returns whether the start of an endpoint to which the request was sent is over. */
    private boolean gone(Endpoint endpoint) {
        Roster roster = context.routingState().roster();
        return roster.ended(endpoint) && roster.leavingOrGone(endpoint, now());
    }

    /**
     * Records that no request to an endpoint could be opened, so nothing was sent. A refused
     * connection shows that the endpoint has failed; a timeout, or an error of this node itself,
     * such as a lack of descriptors, is only a reason to check it; a limit that is reached shows
     * nothing.
     */
    final void openFailed(Endpoint endpoint, Throwable error) {
        withdraw(endpoint);
        if (error instanceof LimitReachedException) {
            context.meters().counter("hyssopturn.limit.denials").increment();
            return;
        }
        excluded.add(endpoint.id());
        if (refused(error)) {
            attemptedEndpoints.markEnded(endpoint);
            context.routingState()
                    .roster()
                    .suspect(endpoint.id(), endpoint.incarnation(), Evidence.REFUSING, now());
        }
        checks.check(endpoint);
    }

    /** Returns whether an endpoint has asked for a pause since it was chosen. */
    final boolean paused(Endpoint endpoint) {
        return context.routingState().roster().paused(endpoint, now());
    }

    /** Records that nothing was sent to a chosen endpoint, which does not count as an attempt. */
    final void withdraw(Endpoint endpoint) {
        attempts--;
        attemptedEndpoints.withdraw(endpoint);
    }

    /** Records that a chosen endpoint has refused the request, which has not run there. */
    final void withdrawRefused(Endpoint endpoint) {
        refusals++;
        attemptedEndpoints.withdraw(endpoint);
    }

    private static boolean refused(Throwable error) {
        return error instanceof IOException && !(error instanceof ConnectTimeoutException);
    }

    /** Records that the request is being sent, so that it may have run from now on. */
    final void markSending() {
        mayHaveRun = true;
    }

    /** Records that the last attempt did not run; an earlier one may have. */
    final void markNotRun(boolean earlierAttemptMayHaveRun) {
        mayHaveRun = earlierAttemptMayHaveRun;
    }

    /** Returns whether the request may be sent to an endpoint that has not received it yet. */
    final boolean mayRetryElsewhere() {
        return mayAttemptAnother()
                && !attemptsUsedUp()
                && repeatable()
                && budgetObstacle(RetryBudget.AnswerState.SILENT).isEmpty();
    }

    private RetryBudget.AnswerState answerState() {
        return response.headWritten()
                ? RetryBudget.AnswerState.STARTED
                : RetryBudget.AnswerState.NOT_STARTED;
    }

    /**
     * Decides whether the request is retried after an attempt failed, and logs the failure and the
     * decision.
     */
    final boolean acquireRetry(Endpoint endpoint, String cause, Optional<InstanceId> fault) {
        Optional<String> obstacle = retryObstacle();
        recordFailure(endpoint, cause, fault, false, obstacle.orElse(RETRY));
        if (obstacle.isEmpty()) {
            countRetry(answerState());
        }
        return obstacle.isEmpty();
    }

    /**
     * Logs that an attempt of an answer that began has failed.
     *
     * @return why the answer cannot be continued even later, empty if it may be
     */
    final Optional<String> recordBegunFailure(
            Endpoint endpoint, String cause, Optional<InstanceId> fault) {
        recordFailure(endpoint, cause, fault, false, retryObstacle().orElse(RETRY));
        return finalObstacle();
    }

    /**
     * Counts and logs the retry by which an attempt at a suspected endpoint is joined by another
     * one. The caller has checked that nothing stands in the way of a retry.
     *
     * @param lost whether nothing is to be expected of the attempt, which may else be only silent
     */
    final void joinAttempt(
            Endpoint endpoint, String cause, Optional<InstanceId> fault, boolean lost) {
        recordFailure(endpoint, cause, fault, true, RETRY);
        countRetry(lost ? answerState() : RetryBudget.AnswerState.SILENT);
    }

    /** Logs that an attempt at a suspected endpoint goes on, since it cannot be replaced. */
    final void keepAttempt(
            Endpoint endpoint, String cause, Optional<InstanceId> fault, String obstacle) {
        context.trace()
                .record(
                        new TraceEvent.AttemptKept(
                                admitted.id(),
                                attempts,
                                endpoint.id().value(),
                                cause,
                                fault.map(InstanceId::value).orElse(""),
                                obstacle));
    }

    /** Logs that an attempt failed, and what is done next. */
    final void recordFailure(Endpoint endpoint, String cause, String next) {
        recordFailure(endpoint, cause, Optional.empty(), false, next);
    }

    /** Logs that an attempt failed while another one goes on. */
    final void recordFailure(
            Endpoint endpoint, String cause, Optional<InstanceId> fault, String next) {
        recordFailure(endpoint, cause, fault, false, next);
    }

    /** Records that an attempt ended without making the request fail, so that it does not count. */
    final void markUncounted() {
        uncounted++;
    }

    /** Uses the retry budget for one retry. */
    final void countRetry(RetryBudget.AnswerState answerState) {
        context.retryBudget().record(admitted.service(), answerState, now());
    }

    private void recordFailure(
            Endpoint endpoint,
            String cause,
            Optional<InstanceId> fault,
            boolean suspected,
            String next) {
        lastFailure = Optional.of(cause);
        context.trace()
                .record(
                        new TraceEvent.AttemptFailed(
                                admitted.id(),
                                attempts,
                                endpoint.id().value(),
                                cause,
                                fault.map(InstanceId::value).orElse(""),
                                mayHaveRun,
                                suspected,
                                next,
                                admitted.headers().sharedParts()));
    }

    /** Returns why the request must not be sent to another endpoint, empty if it may be. */
    Optional<String> repeatObstacle() {
        return Optional.empty();
    }

    /** Returns what stands in the way of a retry, empty if the request may be retried now. */
    final Optional<String> retryObstacle() {
        return finalObstacle().or(() -> budgetObstacle(answerState()));
    }

    /** Returns what stands in the way of replacing an attempt that is only silent. */
    final Optional<String> replacementObstacle() {
        return finalObstacle().or(() -> budgetObstacle(RetryBudget.AnswerState.SILENT));
    }

    /** Returns what rules out a retry for good, empty if the request may be retried some time. */
    private Optional<String> finalObstacle() {
        if (!repeatable()) {
            return Optional.of("must run at most once");
        }
        if (attemptsUsedUp()) {
            return Optional.of("attempts used up");
        }
        if (remaining().toMillis() <= 0) {
            return Optional.of("no time left");
        }
        return repeatObstacle();
    }

    /** Returns whether the request was sent too often; refusals of a begun answer do not count. */
    private boolean attemptsUsedUp() {
        int withoutFailure = uncounted + (response.headWritten() ? refusals : 0);
        return attempts - withoutFailure >= MAX_ATTEMPTS;
    }

    private Optional<String> budgetObstacle(RetryBudget.AnswerState answerState) {
        return context.retryBudget().allows(admitted.service(), answerState, now())
                ? Optional.empty()
                : Optional.of(Resumption.BUDGET_USED_UP);
    }

    /** Refuses a request that no endpoint may have run; the caller may retry it. */
    final void refuse(String cause) {
        refuse(cause, retryAfter());
    }

    /**
     * Returns the time after which the caller should retry: when the first endpoint has room within
     * its limit, or when the first pause ends if all are paused; spread so that callers do not
     * return together.
     */
    private Duration retryAfter() {
        Roster roster = context.routingState().roster();
        if (limitReached()) {
            long left = Math.max(0, firstOpeningNanos - now());
            return Duration.ofNanos(left).plus(spread(LIMIT_RETRY_SPREAD));
        }
        if (!roster.usable(admitted.service(), now()).isEmpty()) {
            return retryAfterForRoom().orElse(context.settings().retryAfter());
        }
        return roster.firstPauseLeft(admitted.service(), now())
                .map(left -> left.plus(spread(RETRY_SPREAD)))
                .orElse(context.settings().retryAfter());
    }

    /** Returns the time until room is expected at endpoints that are full, empty if not known. */
    Optional<Duration> retryAfterForRoom() {
        return Optional.empty();
    }

    private Duration spread(Duration most) {
        return Duration.ofNanos((long) (most.toNanos() * context.random().nextDouble()));
    }

    private void refuse(String cause, Duration retryAfter) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.set("Retry-After", String.valueOf(retryAfter.toMillis() / MILLIS_PER_SECOND));
        respond(UNAVAILABLE, cause, "refused", headers);
    }

    /**
     * Ends a failed request with an answer of this node: a refusal if the request has certainly not
     * run, otherwise a gateway error, since the outcome is unknown.
     */
    final void giveUp(String cause) {
        giveUp(cause, retryAfter());
    }

    /** Ends a failed request, and names the time after which the caller may retry it. */
    final void giveUp(String cause, Duration retryAfter) {
        if (!mayHaveRun) {
            refuse(cause, retryAfter);
            return;
        }
        int status = timeToAnswer().toMillis() <= 0 ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        respond(status, cause, "in-doubt", MultiMap.caseInsensitiveMultiMap());
    }

    /** Tells the caller that its connection ends with this answer, unless the answer has begun. */
    final void announceClose() {
        if (!response.headWritten()) {
            response.putHeader("Connection", "close");
        }
    }

    /** Ends the request unless its answer has begun, which may still be completed. */
    final void giveUpBeforeExit() {
        if (!response.headWritten()) {
            giveUp(NODE_STOPS);
        }
    }

    /** Breaks off the answer, whose connection ends with the process. */
    final void breakOffBeforeExit() {
        abort(NODE_STOPS);
    }

    private void respond(int status, String cause, String outcome, MultiMap headers) {
        if (!finish(outcome, status, cause)) {
            return;
        }
        release();
        if (response.headWritten()) {
            // the status is already sent, so only a closed connection can show the failure
            request.connection().close();
            return;
        }
        response.setStatusCode(status);
        response.headers().addAll(headers);
        response.end();
    }

    /** Closes the connection in the middle of the answer, so that it cannot look complete. */
    final void abort(String cause) {
        if (finish("broken", response.getStatusCode(), cause)) {
            context.meters().counter("hyssopturn.answers.broken", "cause", cause).increment();
            release();
            request.connection().close();
        }
    }

    /** Ends the request and logs its outcome; returns false if it has already ended. */
    final boolean finish(String outcome, int status, String cause) {
        if (ended) {
            return false;
        }
        ended = true;
        deadlineTimer.cancel();
        long now = now();
        context.trace()
                .record(
                        new TraceEvent.Ended(
                                admitted.id(),
                                admitted.route().name(),
                                admitted.account().map(Account::name).orElse(""),
                                outcome,
                                status,
                                cause,
                                attempts,
                                firstPartNanos < 0 ? -1 : millis(firstPartNanos),
                                maxPauseNanos / NANOS_PER_MILLI,
                                millis(now),
                                admitted.catalog().version(),
                                context.routingState().age(now).toMillis()));
        context.meters()
                .timer("hyssopturn.requests", "outcome", outcome)
                .record(Duration.ofNanos(now - admitted.arrivedNanos()));
        return true;
    }

    private long millis(long nanos) {
        return (nanos - admitted.arrivedNanos()) / NANOS_PER_MILLI;
    }

    private void callerDisconnected() {
        if (finish("caller-left", 0, "caller closed its connection")) {
            release();
        }
    }
}
