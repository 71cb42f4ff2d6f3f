package hyssopturn.relay;

import hyssopturn.catalog.Account;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.Route;
import hyssopturn.catalog.ServiceSpec;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

import java.time.Duration;
import java.util.Optional;

/** Entry of requests: finds route and account, reads the body, and starts the call. */
public final class Relay {
    /** How long a request waits for a node that has just started to read what it needs. */
    private static final Duration START_HOLD = Duration.ofMillis(500);

    private static final Duration START_TICK = Duration.ofMillis(20);

    /** How long after the start of a drain new requests are still served. */
    private static final Duration DRAIN_ACCEPT = Duration.ofMillis(2_800);

    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final long MILLI_NANOS = 1_000_000;
    private static final double MILLIS = 1_000;

    private final RelayParts parts;
    private final StallWatch watch;
    private final ServiceLoad serviceLoad = new ServiceLoad();
    private Optional<Long> drainingNanos = Optional.empty();
    private int running;

    /**
     * Creates a relay that takes no requests yet.
     *
     * @param parts what requests share
     * @param engines questions to engines
     */
    public Relay(RelayParts parts, EngineControl engines) {
        this.parts = parts;
        watch = new StallWatch(parts, engines);
    }

    /** Starts watching streams. */
    public void start() {
        watch.start();
    }

    /** Begins to drain: connections end with their next answer, and new requests soon end. */
    public void drain() {
        drainingNanos = Optional.of(parts.clock().nanos());
    }

    /**
     * Counts the requests in progress.
     *
     * @return number of requests
     */
    public int running() {
        return running;
    }

    /**
     * Tells whether callers should be sent here.
     *
     * @return true while the node can serve and does not drain
     */
    public boolean ready() {
        return parts.knowledge().complete() && drainingNanos.isEmpty();
    }

    /**
     * Handles a request.
     *
     * @param request the request, of which nothing but the head was read
     */
    public void handle(HttpServerRequest request) {
        long arrived = parts.clock().nanos();
        running++;
        request.response().endHandler(v -> running--);
        if (drainingNanos.isPresent()) {
            request.response().putHeader("Connection", "close");
        }
        readBody(request, arrived);
    }

    private void readBody(HttpServerRequest request, long arrived) {
        long limit =
                parts.knowledge().catalog().map(c -> c.limits().bodyBytes()).orElse(Long.MAX_VALUE);
        Buffer body = Buffer.buffer();
        request.handler(
                bytes -> {
                    if (body.length() + (long) bytes.length() > limit) {
                        request.handler(ignored -> {});
                        refuse(request, TOO_LARGE, "body too large", arrived);
                    } else {
                        body.appendBuffer(bytes);
                    }
                });
        request.endHandler(
                v -> {
                    if (!request.response().ended()) {
                        admit(request, body, arrived);
                    }
                });
    }

    private void admit(HttpServerRequest request, Buffer body, long arrived) {
        long now = parts.clock().nanos();
        if (drainedOut(now)) {
            refuse(request, Call.UNAVAILABLE, "draining", arrived);
            return;
        }
        if (!parts.knowledge().complete() && now - arrived < START_HOLD.toNanos()) {
            parts.clock().after(START_TICK, () -> admitIfOpen(request, body, arrived));
            return;
        }
        Optional<Catalog> known = parts.knowledge().catalog();
        if (known.isEmpty()) {
            refuse(request, Call.UNAVAILABLE, "no configuration", arrived);
            return;
        }
        Catalog catalog = known.get();
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        Optional<Route> route = catalog.route(host, request.path());
        if (route.isEmpty()) {
            refuse(request, missing(NOT_FOUND, now), "no route", arrived);
            return;
        }
        CallHeaders headers = parts.dialect().decode(request.headers());
        Optional<Account> account = headers.key().flatMap(catalog::account);
        if (account.isEmpty() && catalog.hasAccounts() && !route.get().anonymous()) {
            refuse(request, missing(UNAUTHORIZED, now), "no account", arrived);
            return;
        }
        start(request, catalog, route.get(), account, headers, body, arrived);
    }

    private void admitIfOpen(HttpServerRequest request, Buffer body, long arrived) {
        if (!request.response().closed()) {
            admit(request, body, arrived);
        }
    }

    private boolean drainedOut(long now) {
        return drainingNanos.filter(at -> now - at > DRAIN_ACCEPT.toNanos()).isPresent();
    }

    /** A node that may have missed a change cannot say that something does not exist. */
    private int missing(int status, long now) {
        return parts.knowledge().fresh(now) ? status : Call.UNAVAILABLE;
    }

    private void start(
            HttpServerRequest request,
            Catalog catalog,
            Route route,
            Optional<Account> account,
            CallHeaders headers,
            Buffer body,
            long arrived) {
        String service = route.pickService(parts.random().nextDouble());
        parts.retries().request(service, parts.clock().nanos());
        Call.Admitted admitted =
                new Call.Admitted(catalog, route, service, account, headers, body, arrived);
        Optional<EngineSpec> engine = catalog.service(service).flatMap(ServiceSpec::engine);
        Call call =
                engine.isPresent()
                        ? new StreamCall(parts, request, admitted, engine.get(), watch)
                        : new PlainCall(parts, request, admitted, serviceLoad);
        call.offer();
    }

    private void refuse(HttpServerRequest request, int status, String cause, long arrived) {
        if (status == Call.UNAVAILABLE) {
            double seconds = parts.settings().retryAfter().toMillis() / MILLIS;
            request.response().putHeader("Retry-After", String.valueOf(seconds));
        }
        long now = parts.clock().nanos();
        CallHeaders headers = parts.dialect().decode(request.headers());
        parts.trace()
                .record(
                        new TraceEvent.Ended(
                                headers.id().orElse(""),
                                "",
                                "",
                                "refused",
                                status,
                                cause,
                                0,
                                -1,
                                0,
                                (now - arrived) / MILLI_NANOS,
                                parts.knowledge().catalog().map(Catalog::version).orElse(-1L),
                                parts.knowledge().age(now).toMillis()));

        request.response().setStatusCode(status).end();
    }
}
