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

/** HTTP server of a node: requests of callers, health checks, status, metrics and events. */
public final class HttpFront {
    private static final String BEARER = "Bearer ";
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 32_768;
    private static final int UNAVAILABLE = 503;

    private final Node node;
    private final PrometheusMeterRegistry meters;
    private final FrontLimits limits;
    private final Credentials operators;
    private final AtomicInteger connections = new AtomicInteger();

    /**
     * Creates the HTTP server of a node.
     *
     * @param node the node
     * @param meters registry of the metrics to expose
     * @param limits limits on requests and connections of callers
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
     * @param host IP address to listen on
     * @param port port to listen on, 0 for any
     * @return the server once it listens
     */
    public Future<HttpServer> listen(Vertx vertx, String host, int port) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        // graceful shutdown would close upgraded connections abruptly
                        .setHttp2ClearTextEnabled(false)
                        .setMaxHeaderSize(limits.headerBytes())
                        .setIdleTimeout((int) limits.idle().toMillis())
                        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS);
        return vertx.createHttpServer(options)
                .connectionHandler(this::onConnection)
                .requestHandler(router(vertx))
                .listen(port, host);
    }

    private void onConnection(HttpConnection connection) {
        if (connections.incrementAndGet() > limits.connections()) {
            meters.counter("hyssopturn.connections.refused").increment();
            connections.decrementAndGet();
            connection.close();
            return;
        }
        connection.closeHandler(ignored -> connections.decrementAndGet());
    }

    private Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route()
                .handler(BodyHandler.create(false).setBodyLimit(limits.bodyBytes()))
                .failureHandler(HttpFront::handleFailure);
        router.post("/v1/chat/completions")
                .handler(routing -> complete(routing, CompletionFormat.CHAT));
        router.post("/v1/completions").handler(routing -> complete(routing, CompletionFormat.TEXT));
        router.post("/v1/calls/:class").handler(this::call);
        router.get("/v1/answers/:id").handler(this::resume);
        router.get("/v1/events").handler(this::events);
        router.get("/v1/status").handler(this::status);
        router.get("/metrics").handler(routing -> routing.response().end(meters.scrape()));
        router.get("/healthz").handler(routing -> routing.json(new JsonObject().put("live", true)));
        router.get("/readyz").handler(this::ready);
        return router;
    }

    private static void handleFailure(RoutingContext routing) {
        int status = routing.statusCode() > 0 ? routing.statusCode() : Statuses.BAD_REQUEST;
        Reply.problem(routing, status, Reason.INVALID, "the request cannot be read");
    }

    private void complete(RoutingContext routing, CompletionFormat format) {
        Optional<JsonObject> body = jsonBody(routing);
        Optional<String> prompt = body.flatMap(format::prompt).filter(p -> !p.isBlank());
        if (prompt.isEmpty()
                || !(body.get().getValue("model") instanceof String name)
                || name.isBlank()) {
            Reply.problem(
                    routing, Statuses.BAD_REQUEST, Reason.INVALID, "model and prompt are needed");
            return;
        }
        Object maxTokens = body.get().getValue("max_tokens", DEFAULT_MAX_TOKENS);
        if (!(maxTokens instanceof Integer tokens) || tokens < 1 || tokens > MAX_TOKENS_LIMIT) {
            Reply.problem(
                    routing,
                    Statuses.BAD_REQUEST,
                    Reason.INVALID,
                    "max_tokens must be from 1 to " + MAX_TOKENS_LIMIT);
            return;
        }
        boolean stream = Boolean.TRUE.equals(body.get().getValue("stream"));
        Exchange.Call call =
                new Exchange.Call(
                        new ClassName(name),
                        bearer(routing),
                        Optional.empty(),
                        new Exchange.Input.Text(prompt.get(), tokens));
        RequestId request = node.submit(call);
        Multi<AnswerEvent> answer = node.answer(request, 0).orElseThrow();
        if (stream) {
            new StreamReply(routing, request, format, name, 0).send(answer);
        } else {
            new BufferedReply(routing, request, format, name).send(answer);
        }
    }

    private void call(RoutingContext routing) {
        if (jsonBody(routing).isEmpty()) {
            Reply.problem(routing, Statuses.BAD_REQUEST, Reason.INVALID, "the body must be JSON");
            return;
        }
        Exchange.Call call =
                new Exchange.Call(
                        new ClassName(routing.pathParam("class")),
                        bearer(routing),
                        Optional.ofNullable(routing.request().getHeader("Idempotency-Key")),
                        new Exchange.Input.Json(Bytes.wrap(routing.body().buffer().getBytes())));
        RequestId request = node.submit(call);
        Multi<AnswerEvent> answer = node.answer(request, 0).orElseThrow();
        new BufferedReply(routing, request, CompletionFormat.TEXT, routing.pathParam("class"))
                .send(answer);
    }

    private void resume(RoutingContext routing) {
        RequestId request = new RequestId(routing.pathParam("id"));
        int fromIndex = 0;
        String lastEventId = routing.request().getHeader("Last-Event-ID");
        if (lastEventId != null) {
            try {
                fromIndex = Integer.parseInt(lastEventId) + 1;
            } catch (NumberFormatException e) {
                Reply.problem(
                        routing,
                        Statuses.BAD_REQUEST,
                        Reason.INVALID,
                        "Last-Event-ID must be a whole number");
                return;
            }
        }
        Optional<Multi<AnswerEvent>> answer = node.answer(request, fromIndex);
        if (answer.isEmpty()) {
            Reply.problem(routing, Statuses.NOT_FOUND, Reason.INVALID, "no such answer is kept");
            return;
        }
        new StreamReply(routing, request, CompletionFormat.CHAT, "", fromIndex).send(answer.get());
    }

    private static Optional<JsonObject> jsonBody(RoutingContext routing) {
        Buffer body = routing.body().buffer();
        if (body == null || body.length() == 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(body.toJsonObject());
        } catch (DecodeException | ClassCastException e) {
            return Optional.empty();
        }
    }

    private static Optional<String> bearer(RoutingContext routing) {
        return Optional.ofNullable(routing.request().getHeader("Authorization"))
                .filter(h -> h.startsWith(BEARER))
                .map(h -> h.substring(BEARER.length()).strip())
                .filter(t -> !t.isEmpty());
    }

    private void events(RoutingContext routing) {
        if (operators.account(bearer(routing).orElse("")).isEmpty()) {
            Reply.problem(routing, Statuses.UNAUTHORIZED, Reason.UNAUTHENTICATED, "operators only");
            return;
        }
        routing.response()
                .putHeader("Content-Type", "application/json")
                .end(EventJson.write(node.self().id(), node.events().events()));
    }

    private void status(RoutingContext routing) {
        JsonObject status = StatusFormat.json(node);
        if (operators.account(bearer(routing).orElse("")).isPresent()) {
            StatusFormat.addForOperators(node, status);
        }
        routing.json(status);
    }

    private void ready(RoutingContext routing) {
        boolean ready = node.ready();
        if (!ready) {
            routing.response().setStatusCode(UNAVAILABLE);
        }
        routing.json(new JsonObject().put("ready", ready));
    }
}
