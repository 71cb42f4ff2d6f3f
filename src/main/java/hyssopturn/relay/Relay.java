package hyssopturn.relay;

import com.google.common.flogger.FluentLogger;

import hyssopturn.catalog.Account;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.Route;
import hyssopturn.catalog.ServiceSpec;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Entry point of requests: reads the body, finds route and account, and starts the call. */
public final class Relay {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** How long a request waits for a newly started node to load configuration and endpoints. */
    private static final Duration STARTUP_WAIT = Duration.ofMillis(500);

    private static final Duration STARTUP_CHECK_INTERVAL = Duration.ofMillis(20);

    /** Time after which a caller that a stopping node refused should try the next node. */
    private static final Duration DRAIN_RETRY_AFTER = Duration.ofMillis(200);

    /** Time after its answer for which an endpoint may read the body of a request. */
    private static final Duration LATE_READ_LIMIT = Duration.ofSeconds(60);

    private static final int SUCCESS_CLASS = 2;
    private static final int STATUS_CLASS = 100;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RelayContext context;
    private final BodyMemory bodyMemory;
    private final StallDetector stallDetector;
    private final ServiceLoad serviceLoad = new ServiceLoad();
    private final EndpointOutcomes outcomes;
    private final ExpectedDurations expectedDurations = new ExpectedDurations();
    private Optional<DrainAdmission> drain = Optional.empty();
    private final Set<Call> calls = new HashSet<>();
    private int running;

    /**
     * Creates a relay that does not watch streams yet.
     *
     * @param context dependencies shared by all requests
     * @param engines client of the engines' control interface
     * @param bodyMemory memory for the bodies of all requests
     */
    public Relay(RelayContext context, EngineControl engines, BodyMemory bodyMemory) {
        this.context = context;
        this.bodyMemory = bodyMemory;
        stallDetector = new StallDetector(context, engines);
        outcomes = new EndpointOutcomes(context);
    }

    /** Starts the detection of stalled streams. */
    public void start() {
        stallDetector.start();
    }

    /**
     * Starts to drain: each connection is closed after its next answer. New requests are refused
     * after some time, and before if they are not expected to end in time.
     *
     * @param accepting time during which new requests are accepted
     * @param answering time after which requests without an answer are given up
     */
    public void drain(Duration accepting, Duration answering) {
        long now = context.clock().nanos();
        drain =
                Optional.of(
                        new DrainAdmission(now + accepting.toNanos(), now + answering.toNanos()));
        calls.forEach(Call::announceClose);
    }

    /** Gives up every request whose answer has not begun, before the process exits. */
    public void giveUpBeforeExit() {
        List.copyOf(calls).forEach(Call::giveUpBeforeExit);
    }

    /** Breaks off and logs every answer in progress, since the process exits. */
    public void breakOffBeforeExit() {
        List.copyOf(calls).forEach(Call::breakOffBeforeExit);
    }

    /**
     * Tells how a request would be routed now, without an effect.
     *
     * @param query the request
     * @return the explanation
     * @throws UnknownRouteException if the node knows no such route or account, or is in another
     *     zone
     */
    public RouteExplanation explain(RouteQuery query) throws UnknownRouteException {
        return new RouteExplainer(context, serviceLoad, outcomes).explain(query);
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return number of requests
     */
    public int running() {
        return running;
    }

    /**
     * Returns whether load balancers should send requests to this node.
     *
     * @return true while the node can serve requests and is not draining
     */
    public boolean ready() {
        return context.routingState().complete() && drain.isEmpty();
    }

    /**
     * Handles a request.
     *
     * @param request the request, of which only the head has been read
     */
    public void handle(HttpServerRequest request) {
        long arrivedNanos = context.clock().nanos();
        running++;
        BodyMemory.Holding holding = bodyMemory.hold(sender(request));
        request.response().endHandler(v -> ended(holding));
        announceCloseIfDraining(request);
        readBody(request, holding, arrivedNanos);
    }

    /** Ends the count of a request; an endpoint that has answered may still read its body. */
    private void ended(BodyMemory.Holding holding) {
        running--;
        holding.release();
        if (holding.sending()) {
            context.clock().after(LATE_READ_LIMIT, holding::cancel);
        }
    }

    /** Returns the client account that sends a request, or its connection if there is none. */
    private Object sender(HttpServerRequest request) {
        Optional<Account> account =
                context.headerCodec()
                        .key(request.headers())
                        .flatMap(
                                key ->
                                        context.routingState()
                                                .catalog()
                                                .flatMap(c -> c.account(key)));
        return account.isPresent() ? account.get().name() : request.connection();
    }

    private void announceCloseIfDraining(HttpServerRequest request) {
        if (drain.isPresent()) {
            request.response().putHeader("Connection", "close");
        }
    }

    private void readBody(
            HttpServerRequest request, BodyMemory.Holding holding, long arrivedNanos) {
        new RequestReader(
                        request,
                        context.clock(),
                        context.routingState()::callerLimits,
                        holding,
                        new RequestReader.Receiver() {
                            @Override
                            public void complete(Buffer body) {
                                admitOrFail(request, body, holding, arrivedNanos);
                            }

                            @Override
                            public void refuse(int status, String cause) {
                                refuseIncomplete(request, status, cause, arrivedNanos);
                            }
                        })
                .start();
    }

    /**
     * Refuses a request whose body has not arrived. If its caller sends no more of it, the
     * connection ends with the answer, since no other request can follow.
     */
    private void refuseIncomplete(
            HttpServerRequest request, int status, String cause, long arrivedNanos) {
        if (status != RequestReader.REQUEST_TIMEOUT) {
            refuse(request, status, cause, arrivedNanos);
            return;
        }
        request.response().putHeader("Connection", "close");
        refuse(request, status, cause, arrivedNanos)
                .onComplete(sent -> request.connection().close());
    }

    /** Admits a request; an unexpected error ends this request alone, and with an answer. */
    private void admitOrFail(
            HttpServerRequest request, Buffer body, BodyMemory.Holding holding, long arrivedNanos) {
        announceCloseIfDraining(request);
        try {
            admit(request, body, holding, arrivedNanos);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("request to %s failed", request.path());
            request.response().putHeader("Connection", "close");
            String cause = e.getClass().getSimpleName();
            end(request, "", Call.INTERNAL_ERROR, "error", cause, arrivedNanos);
        }
    }

    private void admit(
            HttpServerRequest request, Buffer body, BodyMemory.Holding holding, long arrivedNanos) {
        long now = context.clock().nanos();
        if (drain.filter(d -> d.over(now)).isPresent()) {
            refuse(request, "draining", DRAIN_RETRY_AFTER, arrivedNanos);
            return;
        }
        if (!context.routingState().complete() && now - arrivedNanos < STARTUP_WAIT.toNanos()) {
            context.clock()
                    .after(
                            STARTUP_CHECK_INTERVAL,
                            () -> admitIfOpen(request, body, holding, arrivedNanos));
            return;
        }
        Optional<Catalog> known = context.routingState().catalog();
        if (known.isEmpty()) {
            refuse(request, Call.UNAVAILABLE, "no configuration", arrivedNanos);
            return;
        }
        Optional<RequestTarget> target = RequestTarget.of(request);
        if (target.isEmpty()) {
            refuse(request, Call.BAD_REQUEST, "malformed target", arrivedNanos);
            return;
        }
        String path = target.get().path();
        Catalog catalog = known.get();
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        Optional<Route> route = catalog.route(host, path);
        if (route.isEmpty()) {
            boolean unread = catalog.mayHaveRoute(host, path);
            refuse(request, statusIfMissing(NOT_FOUND, unread, now), "no route", arrivedNanos);
            return;
        }
        CallHeaders headers = context.headerCodec().decode(request.headers());
        Optional<Account> account = headers.key().flatMap(catalog::account);
        if (account.isEmpty() && catalog.hasAccounts() && !route.get().anonymous()) {
            boolean unread = catalog.mayHaveAccount(headers.key());
            refuse(request, statusIfMissing(UNAUTHORIZED, unread, now), "no account", arrivedNanos);
            return;
        }
        start(request, catalog, route.get(), account, headers, body, holding, arrivedNanos);
    }

    private void admitIfOpen(
            HttpServerRequest request, Buffer body, BodyMemory.Holding holding, long arrivedNanos) {
        if (!request.response().closed()) {
            admitOrFail(request, body, holding, arrivedNanos);
        }
    }

    /**
     * Returns the status for something that the configuration lacks. It is 503 if this node may
     * have missed a newer configuration, or could not read all of this one, since the missing entry
     * may exist there.
     */
    private int statusIfMissing(int status, boolean unread, long now) {
        if (unread) {
            countUnreadable();
            return Call.UNAVAILABLE;
        }
        return context.routingState().fresh(now) ? status : Call.UNAVAILABLE;
    }

    private void countUnreadable() {
        context.meters().counter("hyssopturn.config.unreadable.refusals").increment();
    }

    private void start(
            HttpServerRequest request,
            Catalog catalog,
            Route route,
            Optional<Account> account,
            CallHeaders headers,
            Buffer body,
            BodyMemory.Holding holding,
            long arrivedNanos) {
        String service = route.pickService(context.random().nextDouble());
        if (catalog.lacksService(service)) {
            countUnreadable();
            refuse(request, Call.UNAVAILABLE, "service unreadable", arrivedNanos);
            return;
        }
        Admitted admitted =
                new Admitted(
                        catalog,
                        route,
                        service,
                        account,
                        headers,
                        new RequestBody(body, holding),
                        arrivedNanos);
        Optional<EngineSpec> engine = catalog.service(service).flatMap(ServiceSpec::engine);
        if (outlastsDrain(admitted, engine)) {
            refuse(request, "draining, too long", DRAIN_RETRY_AFTER, arrivedNanos);
            return;
        }
        context.retryBudget().recordRequest(service, context.clock().nanos());
        Call call =
                engine.isPresent()
                        ? new StreamCall(context, request, admitted, engine.get(), stallDetector)
                        : new PlainCall(
                                context,
                                request,
                                admitted,
                                stallDetector.checks(),
                                serviceLoad,
                                outcomes);
        calls.add(call);
        long startedNanos = context.clock().nanos();
        request.response()
                .endHandler(
                        v -> {
                            ended(holding);
                            calls.remove(call);
                            recordDuration(request.response(), admitted, engine, startedNanos);
                        });
        call.attempt();
    }

    /**
     * Returns whether a request is refused since the node stops before its expected end. One that
     * continues an answer is accepted: its caller has lost a connection already.
     */
    private boolean outlastsDrain(Admitted admitted, Optional<EngineSpec> engine) {
        if (drain.isEmpty() || admitted.headers().resumeAfter().isPresent()) {
            return false;
        }
        boolean repeatable = admitted.route().retryPolicy().allowsRetry();
        long now = context.clock().nanos();
        return expectedDurations
                .expected(admitted, engine)
                .filter(e -> !drain.get().endsInTime(e, admitted.timeout(), repeatable, now))
                .isPresent();
    }

    private void recordDuration(
            HttpServerResponse response,
            Admitted admitted,
            Optional<EngineSpec> engine,
            long startedNanos) {
        if (response.ended() && response.getStatusCode() / STATUS_CLASS == SUCCESS_CLASS) {
            long nanos = context.clock().nanos() - startedNanos;
            expectedDurations.record(admitted, engine, Duration.ofNanos(nanos));
        }
    }

    private Future<Void> refuse(
            HttpServerRequest request, int status, String cause, long arrivedNanos) {
        return status == Call.UNAVAILABLE
                ? refuse(request, cause, context.settings().retryAfter(), arrivedNanos)
                : endRefused(request, status, cause, arrivedNanos);
    }

    /** Refuses a request that was sent to no endpoint, so that the caller may retry it. */
    private Future<Void> refuse(
            HttpServerRequest request, String cause, Duration retryAfter, long arrivedNanos) {
        double seconds = retryAfter.toMillis() / MILLIS_PER_SECOND;
        request.response().putHeader("Retry-After", String.valueOf(seconds));
        return endRefused(request, Call.UNAVAILABLE, cause, arrivedNanos);
    }

    private Future<Void> endRefused(
            HttpServerRequest request, int status, String cause, long arrivedNanos) {
        String id = context.headerCodec().decode(request.headers()).id().orElse("");
        return end(request, id, status, "refused", cause, arrivedNanos);
    }

    /** Answers a request that was sent to no endpoint, and logs its outcome. */
    private Future<Void> end(
            HttpServerRequest request,
            String id,
            int status,
            String outcome,
            String cause,
            long arrivedNanos) {
        long now = context.clock().nanos();
        context.trace()
                .record(
                        new TraceEvent.Ended(
                                id,
                                "",
                                "",
                                outcome,
                                status,
                                cause,
                                0,
                                -1,
                                0,
                                (now - arrivedNanos) / NANOS_PER_MILLI,
                                context.routingState().catalog().map(Catalog::version).orElse(-1L),
                                context.routingState().age(now).toMillis()));
        return request.response().setStatusCode(status).end();
    }
}
