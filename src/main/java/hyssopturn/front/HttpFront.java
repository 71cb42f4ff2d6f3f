package hyssopturn.front;

import hyssopturn.event.EventJson;
import hyssopturn.filter.Credentials;
import hyssopturn.filter.Exchange;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.Reason;
import hyssopturn.model.RequestId;
import hyssopturn.node.Node;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.smallrye.mutiny.Multi;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** HTTP server of a node: what callers send, health, metrics and events. */
public final class HttpFront {
    private static final String BEARER = "Bearer ";
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int LIMIT_MAX_TOKENS = 32_768;
    private static final int UNAVAILABLE = 503;

    private final Node node;
    private final PrometheusMeterRegistry meters;
    private final FrontLimits limits;
    private final Credentials operators;
    private final AtomicInteger connections = new AtomicInteger();

    /**
     * Creates the front of a node.
     *
     * @param node the node
     * @param meters counters to show
     * @param limits bounds on what callers may send
     * @param operators checks bearer tokens of operators
     */
    public HttpFront(
            Node node, PrometheusMeterRegistry meters, FrontLimits limits, Credentials operators) {
        this.node = node;
        this.meters = meters;
        this.limits = limits;
        this.operators = operators;
    }

    /**
     * Starts listening.
     *
     * @param vertx event loops
     * @param host IP number to listen on
     * @param port port to listen on, 0 for any
     * @return the server once it listens
     */
    public Future<HttpServer> listen(Vertx vertx, String host, int port) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        // an upgraded connection would be cut off by a graceful shutdown
                        .setHttp2ClearTextEnabled(false)
                        .setMaxHeaderSize(limits.headerBytes())
                        .setIdleTimeout((int) limits.idle().toMillis())
                        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS);
        return vertx.createHttpServer(options)
                .connectionHandler(this::connected)
                .requestHandler(router(vertx))
                .listen(port, host);
    }

    private void connected(HttpConnection connection) {
        if (connections.incrementAndGet() > limits.connections()) {
            meters.counter("hyssopturn.connections.refused").increment();
            connections.decrementAndGet();
            connection.close();
            return;
        }
        connection.closeHandler(nothing -> connections.decrementAndGet());
    }

    private Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route()
                .handler(BodyHandler.create(false).setBodyLimit(limits.bodyBytes()))
                .failureHandler(HttpFront::failed);
        router.post("/v1/chat/completions").handler(x -> complete(x, ChatForm.CHAT));
        router.post("/v1/completions").handler(x -> complete(x, ChatForm.TEXT));
        router.post("/v1/calls/:class").handler(this::call);
        router.get("/v1/answers/:id").handler(this::resume);
        router.get("/v1/events").handler(this::events);
        router.get("/v1/status").handler(this::status);
        router.get("/metrics").handler(x -> x.response().end(meters.scrape()));
        router.get("/healthz").handler(x -> x.json(new JsonObject().put("live", true)));
        router.get("/readyz").handler(this::ready);
        return router;
    }

    private static void failed(RoutingContext x) {
        int status = x.statusCode() > 0 ? x.statusCode() : Statuses.BAD_REQUEST;
        Reply.problem(x, status, Reason.INVALID, "the request cannot be read");
    }

    private void complete(RoutingContext x, ChatForm form) {
        Optional<JsonObject> body = json(x);
        Optional<String> prompt = body.flatMap(form::prompt).filter(p -> !p.isBlank());
        if (prompt.isEmpty()
                || !(body.get().getValue("model") instanceof String name)
                || name.isBlank()) {
            Reply.problem(x, Statuses.BAD_REQUEST, Reason.INVALID, "model and prompt are needed");
            return;
        }
        Object max = body.get().getValue("max_tokens", DEFAULT_MAX_TOKENS);
        if (!(max instanceof Integer tokens) || tokens < 1 || tokens > LIMIT_MAX_TOKENS) {
            Reply.problem(
                    x,
                    Statuses.BAD_REQUEST,
                    Reason.INVALID,
                    "max_tokens must be from 1 to " + LIMIT_MAX_TOKENS);
            return;
        }
        boolean stream = Boolean.TRUE.equals(body.get().getValue("stream"));
        Exchange.Call call =
                new Exchange.Call(
                        new ClassName(name),
                        bearer(x),
                        Optional.empty(),
                        new Exchange.Input.Text(prompt.get(), tokens));
        RequestId request = node.submit(call);
        Multi<AnswerEvent> answer = node.answer(request, 0).orElseThrow();
        if (stream) {
            new StreamReply(x, request, form, name, 0).send(answer);
        } else {
            new WholeReply(x, request, form, name).send(answer);
        }
    }

    private void call(RoutingContext x) {
        if (json(x).isEmpty()) {
            Reply.problem(x, Statuses.BAD_REQUEST, Reason.INVALID, "the body must be JSON");
            return;
        }
        Exchange.Call call =
                new Exchange.Call(
                        new ClassName(x.pathParam("class")),
                        bearer(x),
                        Optional.ofNullable(x.request().getHeader("Idempotency-Key")),
                        new Exchange.Input.Json(Bytes.wrap(x.body().buffer().getBytes())));
        RequestId request = node.submit(call);
        Multi<AnswerEvent> answer = node.answer(request, 0).orElseThrow();
        new WholeReply(x, request, ChatForm.TEXT, x.pathParam("class")).send(answer);
    }

    private void resume(RoutingContext x) {
        RequestId request = new RequestId(x.pathParam("id"));
        int from = 0;
        String last = x.request().getHeader("Last-Event-ID");
        if (last != null) {
            try {
                from = Integer.parseInt(last) + 1;
            } catch (NumberFormatException e) {
                Reply.problem(
                        x,
                        Statuses.BAD_REQUEST,
                        Reason.INVALID,
                        "Last-Event-ID must be a whole number");
                return;
            }
        }
        Optional<Multi<AnswerEvent>> answer = node.answer(request, from);
        if (answer.isEmpty()) {
            Reply.problem(x, Statuses.NOT_FOUND, Reason.INVALID, "no such answer is kept");
            return;
        }
        new StreamReply(x, request, ChatForm.CHAT, "", from).send(answer.get());
    }

    private static Optional<JsonObject> json(RoutingContext x) {
        Buffer body = x.body().buffer();
        if (body == null || body.length() == 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(body.toJsonObject());
        } catch (DecodeException | ClassCastException e) {
            return Optional.empty();
        }
    }

    private static Optional<String> bearer(RoutingContext x) {
        return Optional.ofNullable(x.request().getHeader("Authorization"))
                .filter(h -> h.startsWith(BEARER))
                .map(h -> h.substring(BEARER.length()).strip())
                .filter(t -> !t.isEmpty());
    }

    private void events(RoutingContext x) {
        if (operators.account(bearer(x).orElse("")).isEmpty()) {
            Reply.problem(x, Statuses.UNAUTHORIZED, Reason.UNAUTHENTICATED, "operators only");
            return;
        }
        x.response()
                .putHeader("Content-Type", "application/json")
                .end(EventJson.write(node.self().id(), node.events().events()));
    }

    private void status(RoutingContext x) {
        JsonObject status = StatusForm.json(node);
        if (operators.account(bearer(x).orElse("")).isPresent()) {
            StatusForm.addForOperators(node, status);
        }
        x.json(status);
    }

    private void ready(RoutingContext x) {
        boolean ready = node.ready();
        if (!ready) {
            x.response().setStatusCode(UNAVAILABLE);
        }
        x.json(new JsonObject().put("ready", ready));
    }
}
