package hyssopturn.standin;

import hyssopturn.helper.Causes;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.RequestId;
import hyssopturn.port.FailedException;
import hyssopturn.port.RefusedException;
import hyssopturn.wire.Codec;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** HTTP servers of the stand-ins. */
public final class Servers {
    private static final int REFUSED = 409;
    private static final int FAILED = 500;

    private Servers() {}

    /**
     * Serves the platform.
     *
     * @param vertx event loops
     * @param log the log
     * @param instances the instance list
     * @param weights the weight store
     * @param host IP number to listen on
     * @param port port to listen on, 0 for any
     * @return the server once it listens
     */
    public static Future<HttpServer> platform(
            Vertx vertx,
            MemoryLog log,
            MemoryInstances instances,
            MemoryWeights weights,
            String host,
            int port) {
        Router router = router(vertx);
        router.post("/v1/log/:stream").handler(x -> append(log, x));
        router.get("/v1/log/:stream").handler(x -> read(log, x));
        router.get("/v1/instances")
                .handler(
                        x ->
                                answer(
                                        x,
                                        instances.list(),
                                        all ->
                                                new JsonObject()
                                                        .put(
                                                                "instances",
                                                                Codec.array(
                                                                        all, Codec::instance))));
        router.put("/v1/instances/:id")
                .handler(
                        x ->
                                answer(
                                        x,
                                        instances.announce(Codec.instance(x.body().asJsonObject())),
                                        nothing -> new JsonObject()));
        router.delete("/v1/instances/:id")
                .handler(
                        x -> {
                            instances.remove(new InstanceId(x.pathParam("id")));
                            x.json(new JsonObject());
                        });
        router.get("/v1/weights/:name/:version").handler(x -> describe(weights, x));
        router.put("/v1/faults").handler(x -> faults(log, x));
        return listen(vertx, router, host, port);
    }

    private static void append(MemoryLog log, RoutingContext x) {
        Buffer body = x.body().buffer();
        Bytes data = body == null ? Bytes.EMPTY : Bytes.wrap(body.getBytes());
        answer(
                x,
                log.append(x.pathParam("stream"), data),
                offset -> new JsonObject().put("offset", offset));
    }

    private static void read(MemoryLog log, RoutingContext x) {
        answer(
                x,
                log.read(
                        x.pathParam("stream"),
                        Long.parseLong(x.request().getParam("from")),
                        Integer.parseInt(x.request().getParam("max")),
                        Duration.ofMillis(Long.parseLong(x.request().getParam("wait")))),
                Codec::page);
    }

    private static void describe(MemoryWeights weights, RoutingContext x) {
        answer(
                x,
                weights.describe(new ModelId(x.pathParam("name"), x.pathParam("version"))),
                w ->
                        new JsonObject()
                                .put("layers", w.layers())
                                .put("bytesPerLayer", w.bytesPerLayer())
                                .put("bytesPerSecond", w.bytesPerSecond()));
    }

    private static void faults(MemoryLog log, RoutingContext x) {
        JsonObject json = x.body().asJsonObject();
        log.down(json.getBoolean("down", false));
        log.loseAnswers(json.getInteger("loseAnswers", 0));
        log.latency(Duration.ofMillis(json.getLong("latencyMillis", 0L)));
        x.json(new JsonObject());
    }

    /**
     * Serves an engine.
     *
     * @param vertx event loops
     * @param engine the engine
     * @param host IP number to listen on
     * @param port port to listen on, 0 for any
     * @return the server once it listens
     */
    public static Future<HttpServer> engine(Vertx vertx, FakeEngine engine, String host, int port) {
        Router router = router(vertx);
        router.post("/v1/steps")
                .handler(
                        x ->
                                answer(
                                        x,
                                        engine.step(Codec.step(x.body().asJsonObject())),
                                        Codec::result));
        router.delete("/v1/runs/:request")
                .handler(
                        x -> {
                            engine.cancel(request(x), number(x, "attempt"));
                            x.json(new JsonObject());
                        });
        router.get("/v1/runs/:request/kv").handler(x -> export(engine, x));
        router.put("/v1/runs/:request/kv")
                .handler(
                        x -> {
                            engine.importKv(
                                    request(x),
                                    number(x, "attempt"),
                                    Codec.kv(x.body().asJsonObject()));
                            x.json(new JsonObject());
                        });
        router.get("/v1/report").handler(x -> x.json(Codec.report(engine.report())));
        router.put("/v1/order")
                .handler(
                        x ->
                                answer(
                                        x,
                                        attempt(
                                                () ->
                                                        engine.order(
                                                                Codec.order(
                                                                        x.body().asJsonObject()))),
                                        nothing -> new JsonObject()));
        router.put("/v1/faults")
                .handler(
                        x -> {
                            JsonObject json = x.body().asJsonObject();
                            engine.draining(json.getBoolean("draining", false));
                            engine.slowdown(json.getDouble("slowdown", 1.0));
                            x.json(new JsonObject());
                        });
        router.get("/v1/journal")
                .handler(
                        x ->
                                x.json(
                                        new JsonObject()
                                                .put(
                                                        "steps",
                                                        Codec.array(
                                                                engine.journal(),
                                                                Servers::journalEntry))));
        return listen(vertx, router, host, port);
    }

    private static JsonObject journalEntry(FakeEngine.JournalEntry entry) {
        return new JsonObject()
                .put("request", entry.request().value())
                .put("attempt", entry.attempt())
                .put("from", entry.layers().from())
                .put("to", entry.layers().to())
                .put("position", entry.position())
                .put("count", entry.count());
    }

    private static void export(FakeEngine engine, RoutingContext x) {
        LayerRange layers = new LayerRange(number(x, "from"), number(x, "to"));
        engine.exportKv(request(x), layers)
                .ifPresentOrElse(
                        state -> x.json(Codec.kv(state)),
                        () ->
                                fail(
                                        x,
                                        new RefusedException(
                                                RefusedException.Reason.NOT_HELD,
                                                "no such state")));
    }

    /**
     * Serves a plain service.
     *
     * @param vertx event loops
     * @param service the service
     * @param host IP number to listen on
     * @param port port to listen on, 0 for any
     * @return the server once it listens
     */
    public static Future<HttpServer> service(
            Vertx vertx, FakeService service, String host, int port) {
        Router router = router(vertx);
        router.post("/v1/calls")
                .handler(
                        x ->
                                answer(
                                        x,
                                        service.call(Codec.call(x.body().asJsonObject())),
                                        a -> new JsonObject(a.body().text())));
        router.get("/v1/journal")
                .handler(
                        x ->
                                x.json(
                                        new JsonObject()
                                                .put(
                                                        "calls",
                                                        Codec.array(
                                                                service.journal(), Codec::call))));
        return listen(vertx, router, host, port);
    }

    private static RequestId request(RoutingContext x) {
        return new RequestId(x.pathParam("request"));
    }

    private static int number(RoutingContext x, String name) {
        return Integer.parseInt(x.request().getParam(name));
    }

    private static CompletableFuture<Void> attempt(Runnable task) {
        try {
            task.run();
            return CompletableFuture.completedFuture(null);
        } catch (RefusedException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static <T> void answer(
            RoutingContext x, CompletableFuture<T> result, Function<T, JsonObject> form) {
        result.whenComplete(
                (value, error) -> {
                    if (x.response().closed()) {
                        return;
                    }
                    if (error == null) {
                        x.json(form.apply(value));
                    } else {
                        fail(x, error);
                    }
                });
    }

    private static void fail(RoutingContext x, Throwable error) {
        Throwable cause = Causes.unwrap(error);
        switch (cause) {
            case RefusedException refused ->
                    x.response()
                            .setStatusCode(REFUSED)
                            .end(
                                    new JsonObject()
                                            .put("refused", refused.reason().name())
                                            .put("message", refused.getMessage())
                                            .toBuffer());
            case FailedException failed ->
                    x.response()
                            .setStatusCode(FAILED)
                            .end(
                                    new JsonObject()
                                            .put("failed", true)
                                            .put("message", failed.getMessage())
                                            .toBuffer());
            default -> x.request().connection().close();
        }
    }

    private static Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        return router;
    }

    private static Future<HttpServer> listen(Vertx vertx, Router router, String host, int port) {
        HttpServerOptions options = new HttpServerOptions().setTcpNoDelay(true);
        return vertx.createHttpServer(options).requestHandler(router).listen(port, host);
    }
}
