package hyssopturn.relay;

import hyssopturn.catalog.Account;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.Route;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.trace.TraceEvent;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;

/**
 * One request of a caller, from its admission to its only answer.
 *
 * <p>A caller is told that its request has not run only if no endpoint may have run it.
 */
abstract class Call {
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    /** Greatest number of times that a request is sent, also if always to the same endpoint. */
    private static final int MOST_ATTEMPTS = 4;

    private static final long MILLI_NANOS = 1_000_000;
    private static final double MILLIS = 1_000;

    final RelayParts parts;
    final HttpServerRequest request;
    final HttpServerResponse response;
    final Admitted admitted;
    final Set<InstanceId> excluded = new HashSet<>();
    private final Set<InstanceId> offered = new HashSet<>();
    private int attempts;
    private final Clock.Timer expiry;
    private Optional<HttpClientRequest> upstream = Optional.empty();
    private boolean mayHaveRun;
    private boolean ended;
    private long firstNanos = -1;
    private long lastNanos;
    private long pauseNanos;
    private Optional<String> failure = Optional.empty();

    /** A request that the configuration allows. */
    record Admitted(
            Catalog catalog,
            Route route,
            String service,
            Optional<Account> account,
            CallHeaders headers,
            Buffer body,
            long arrivedNanos) {
        String id() {
            return headers.id().orElse("");
        }

        Duration patience() {
            Duration timeout = route.timeout();
            return headers.patience().filter(p -> p.compareTo(timeout) < 0).orElse(timeout);
        }
    }

    Call(RelayParts parts, HttpServerRequest request, Admitted admitted) {
        this.parts = parts;
        this.request = request;
        this.response = request.response();
        this.admitted = admitted;
        expiry = parts.clock().after(left(), this::expired);
        response.closeHandler(v -> callerLeft());
        response.exceptionHandler(e -> callerLeft());
    }

    /** Offers the request to an endpoint, or gives up. */
    abstract void offer();

    /** Gives back what the attempt in progress holds, before the next one or the end. */
    abstract void release();

    /** Handles the end of the time that the caller waits. */
    abstract void expired();

    final long now() {
        return parts.clock().nanos();
    }

    final Duration left() {
        long spent = now() - admitted.arrivedNanos();
        return admitted.patience().minusNanos(spent);
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

    /** Notes that the caller gets a part of the answer now. */
    final void part() {
        long now = now();
        if (firstNanos < 0) {
            firstNanos = now;
        } else {
            pauseNanos = Math.max(pauseNanos, now - lastNanos);
        }
        lastNanos = now;
    }

    /** Returns why the last attempt failed, or what stands against a first one. */
    final String failure(String withoutAttempt) {
        return failure.orElse(withoutAttempt);
    }

    /** Sends the request; the future fails if it certainly was not sent. */
    final Future<HttpClientRequest> open(Offer offer) {
        attempts++;
        offered.add(offer.endpoint().id());
        parts.trace()
                .record(
                        new TraceEvent.Offered(
                                admitted.id(),
                                attempts,
                                offer.endpoint().id().value(),
                                offer.chain().map(Object::toString).orElse(""),
                                offer.resumeAfter().orElse(-1),
                                admitted.headers().promptTokens(),
                                admitted.headers().answerTokens(),
                                offer.patience().toMillis(),
                                offer.chain().map(c -> c.reach(parts.settings().zone())).orElse(""),
                                Math.round(parts.load().zoneTokens())));
        RequestOptions options =
                new RequestOptions()
                        .setMethod(request.method())
                        .setURI(request.uri())
                        .setConnectTimeout(parts.settings().connectTimeout().toMillis())
                        .setServer(
                                SocketAddress.inetSocketAddress(
                                        offer.endpoint().address().port(),
                                        offer.endpoint().address().host()))
                        .setHost(offer.endpoint().address().host())
                        .setPort(offer.endpoint().address().port());
        return parts.client().request(options).map(r -> prepare(r, offer));
    }

    private HttpClientRequest prepare(HttpClientRequest opened, Offer offer) {
        upstream = Optional.of(opened);
        opened.exceptionHandler(
                e -> {
                    // the future of the answer fails as well, and its handler decides
                });
        parts.dialect().encode(request.headers(), opened.headers(), offer);
        return opened;
    }

    /** Tells whether the route allows the request to be sent to an endpoint. */
    final boolean mayOffer(Endpoint endpoint) {
        return offered.contains(endpoint.id()) || offered.size() < admitted.route().maxAttempts();
    }

    /**
     * Notes that nothing was sent to an endpoint, because it could not be reached. It may be tried
     * again if only this node was too slow to see that it was.
     */
    final void unsent(Endpoint endpoint, Throwable error) {
        upstreamDone();
        attempts--;
        offered.remove(endpoint.id());
        if (!timedOut(error) || parts.lag().steady(now())) {
            excluded.add(endpoint.id());
            parts.knowledge().roster().suspect(endpoint.id(), endpoint.incarnation(), now());
        }
    }

    private static boolean timedOut(Throwable error) {
        return error instanceof TimeoutException || error instanceof ConnectTimeoutException;
    }

    /** Notes that the bytes of the request leave, so that it may run from here on. */
    final void sending() {
        mayHaveRun = true;
    }

    /** Notes that no endpoint that was offered the request has run it or will. */
    final void provedNotRun(boolean earlierAttempts) {
        mayHaveRun = earlierAttempts;
    }

    /** Stops the attempt in progress; its endpoint sees the connection close. */
    final void cancelUpstream() {
        upstream.ifPresent(HttpClientRequest::reset);
        upstream = Optional.empty();
        release();
    }

    final void upstreamDone() {
        upstream = Optional.empty();
        release();
    }

    /** Tells whether the request could go to an endpoint that has not had it yet. */
    final boolean mayOfferAnew() {
        return offered.size() < admitted.route().maxAttempts()
                && attempts < MOST_ATTEMPTS
                && repeatable()
                && parts.retries().allows(admitted.service(), need(), now());
    }

    private RetryAllowance.Need need() {
        return response.headWritten() ? RetryAllowance.Need.BEGUN : RetryAllowance.Need.NEW;
    }

    /** Decides whether the request is offered again, and says so. */
    final boolean again(Endpoint endpoint, String cause, Optional<InstanceId> fault) {
        String refusal = refusalOfRetry();
        failure = Optional.of(cause);
        parts.trace()
                .record(
                        new TraceEvent.AttemptFailed(
                                admitted.id(),
                                attempts,
                                endpoint.id().value(),
                                cause,
                                fault.map(InstanceId::value).orElse(""),
                                mayHaveRun,
                                refusal.isEmpty() ? "retry" : refusal));

        return refusal.isEmpty();
    }

    private String refusalOfRetry() {
        if (!repeatable()) {
            return "must run at most once";
        }
        if (attempts >= MOST_ATTEMPTS) {
            return "attempts used up";
        }
        if (left().toMillis() <= 0) {
            return "no time left";
        }
        return parts.retries().retry(admitted.service(), need(), now())
                ? ""
                : "retry budget used up";
    }

    /** Ends a request that no endpoint may have run; the caller may come back. */
    final void refuse(String cause) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.set(
                "Retry-After", String.valueOf(parts.settings().retryAfter().toMillis() / MILLIS));
        own(UNAVAILABLE, cause, "refused", headers);
    }

    /** Ends a request with an answer of this node's own, which says what is known. */
    final void giveUp(String cause) {
        if (!mayHaveRun) {
            refuse(cause);
            return;
        }
        int status = left().toMillis() <= 0 ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        own(status, cause, "in-doubt", MultiMap.caseInsensitiveMultiMap());
    }

    private void own(int status, String cause, String outcome, MultiMap headers) {
        if (!finish(outcome, status, cause)) {
            return;
        }
        cancelUpstream();
        if (response.headWritten()) {
            // an answer that has begun can only be broken off visibly
            request.connection().close();
            return;
        }
        response.setStatusCode(status);
        response.headers().addAll(headers);
        response.end();
    }

    /** Breaks the answer off where it stands, so that it cannot look complete. */
    final void breakOff(String cause) {
        if (finish("broken", response.getStatusCode(), cause)) {
            cancelUpstream();
            request.connection().close();
        }
    }

    /** Marks the end; returns false if the request has ended before. */
    final boolean finish(String outcome, int status, String cause) {
        if (ended) {
            return false;
        }
        ended = true;
        expiry.cancel();
        long now = now();
        parts.trace()
                .record(
                        new TraceEvent.Ended(
                                admitted.id(),
                                admitted.route().name(),
                                admitted.account().map(Account::name).orElse(""),
                                outcome,
                                status,
                                cause,
                                attempts,
                                firstNanos < 0 ? -1 : millis(firstNanos),
                                pauseNanos / MILLI_NANOS,
                                millis(now),
                                admitted.catalog().version(),
                                parts.knowledge().age(now).toMillis()));
        parts.meters()
                .timer("hyssopturn.requests", "outcome", outcome)
                .record(Duration.ofNanos(now - admitted.arrivedNanos()));
        return true;
    }

    private long millis(long nanos) {
        return (nanos - admitted.arrivedNanos()) / MILLI_NANOS;
    }

    private void callerLeft() {
        if (finish("caller-left", 0, "caller closed its connection")) {
            cancelUpstream();
        }
    }
}
