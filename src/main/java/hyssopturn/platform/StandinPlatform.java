package hyssopturn.platform;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import java.time.Duration;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Simulates the users' platform on the loopback interface for a self-test of a node: a log store
 * with fixed initial content, one model worker that holds no layers at first, and one plain worker.
 *
 * <p>All parts run on the event loop that is passed in.
 */
public final class StandinPlatform {
    private static final String HOST = "127.0.0.1";
    private static final String ENGINE_ID = "engine-1";
    private static final String PLAIN_ID = "plain-1";
    private static final String ATTEMPT_ID = "Hyssopturn-Attempt-Id";
    private static final int EVENT_COUNT = 3;
    private static final int ACCEPTED = 202;
    private static final String CONFIG =
            """
            {"Version":1,"Routes":[
             {"Name":"write","Host":"selftest.example","PathPrefix":"/write/","Type":"streaming",
              "TimeoutMs":5000,"TargetLatencyMs":500,"Service":"writers","MaxAttempts":2,
              "StreamResume":true,"GapAimMs":500},
             {"Name":"look","Host":"selftest.example","PathPrefix":"/look/","Type":"idempotent",
              "TimeoutMs":5000,"TargetLatencyMs":500,"Service":"records","MaxAttempts":2}],
             "Services":[{"Name":"records"},{"Name":"writers","Engine":{"Layers":4,"LayerMb":1.0,
              "KvTokenBytes":80,"step_ms":1.0,"read_per_s":1000.0,"PipeMbps":1000.0,
              "usual":{"prompt":10,"answer":10},
              "Kinds":[{"Name":"k","SizeMb":1000.0,"pace":1.0,"ReadX":1.0}],
              "Models":[{"Name":"m","LoadS":1.0}]}}],
             "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"IdleTimeoutMs":15000},
             "Tenants":[{"Name":"selftest","ApiKeys":["selftest-key"]}]}
            """;

    /** Timeout of a call; longer than the deadline in the call's header. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

    private final Vertx vertx;
    private final HttpClient client;
    private final Address address;
    private Optional<JsonObject> order = Optional.empty();

    private StandinPlatform(Vertx vertx, Address address) {
        this.vertx = vertx;
        this.address = address;
        client = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
    }

    /**
     * Starts a platform on a free port.
     *
     * @param vertx event loop
     * @return the platform
     */
    public static Future<StandinPlatform> start(Vertx vertx) {
        var server = vertx.createHttpServer();
        var handler = new HandlerHolder();
        return server.requestHandler(handler::handle)
                .listen(0, HOST)
                .map(
                        listening -> {
                            Address bound = new Address(HOST, listening.actualPort());
                            handler.platform = new StandinPlatform(vertx, bound);
                            return handler.platform;
                        });
    }

    /**
     * Refers to the platform that handles requests. The platform is created only after the server
     * listens, because it needs the port; no request arrives before that.
     */
    private static final class HandlerHolder {
        private StandinPlatform platform;

        void handle(HttpServerRequest request) {
            request.body().onSuccess(body -> platform.handle(request, body));
        }
    }

    /**
     * Adapts a node's settings so that it runs on this platform.
     *
     * @param settings the node's settings for another platform
     * @param front address at which callers connect
     * @param readiness address at which the node serves its readiness
     * @param metrics address at which the node serves metrics
     * @param peers address at which other nodes would reach the node
     * @return the settings for this platform
     */
    public PlatformSettings settings(
            PlatformSettings settings,
            Address front,
            Address readiness,
            Address metrics,
            Address peers) {
        return new PlatformSettings(
                settings.node(),
                settings.zone(),
                settings.zones(),
                front,
                readiness,
                metrics,
                peers,
                address,
                settings.grace(),
                settings.leaveNotice(),
                settings.catchUpLimit(),
                settings.retryRatio(),
                settings.retryWindow(),
                settings.retryFixed(),
                settings.partitions(),
                settings.machine());
    }

    /**
     * The answer to a call.
     *
     * @param status HTTP status
     * @param body complete body
     */
    public record Answer(int status, String body) {}

    /**
     * Sends a request as a caller.
     *
     * @param front address at which the node accepts callers
     * @param path path of the request, which determines the route
     * @return the answer; fails if the node does not answer in time
     */
    public Future<Answer> call(Address front, String path) {
        return client.request(HttpMethod.POST, front.port(), front.host(), path)
                .compose(request -> send(request, path))
                .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a request and reads the answer. The body is asked for on the event loop as soon as the
     * head has been read, because a body that nobody reads yet is discarded.
     */
    private static Future<Answer> send(HttpClientRequest request, String path) {
        return request.putHeader("Host", "selftest.example")
                .putHeader("X-Api-Key", "selftest-key")
                .putHeader(ATTEMPT_ID, "selftest" + path)
                .putHeader("Hyssopturn-Deadline-Ms", "3000")
                .putHeader("Hyssopturn-Token-Counts", "10,10")
                .send("selftest")
                .compose(
                        response ->
                                response.body()
                                        .map(b -> new Answer(response.statusCode(), b.toString())));
    }

    /**
     * Returns the complete event stream with which the model worker answers.
     *
     * @return the events in server-sent events format
     */
    public static String events() {
        StringBuilder events = new StringBuilder();
        for (int id = 0; id < EVENT_COUNT; id++) {
            events.append("id: ").append(id).append("\ndata: t").append(id).append("\n\n");
        }
        return events.toString();
    }

    private void handle(HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        switch (request.path()) {
            case "/v1/log-newest" -> response.end(newest(request.getParam("Topic")).toBuffer());
            case "/v1/log-read" -> read(request);
            case "/v1/log-join" ->
                    response.end(
                            new JsonObject()
                                    .put("Generation", 1)
                                    .put(
                                            "parts",
                                            new JsonArray()
                                                    .add(
                                                            new JsonArray()
                                                                    .add("hyssopturn-duties-0")
                                                                    .add(0)))
                                    .toBuffer());
            case "/v1/log-leave", "/v1/log-append", "/v1/log-owners" -> response.end("{}");
            case "/v1/report" -> response.end("{\"Stalled\":[]}");
            case "/v1/order" -> {
                order = Optional.of(body.toJsonObject());
                response.setStatusCode(ACCEPTED).end();
            }
            default -> serve(request);
        }
    }

    private JsonObject newest(String topic) {
        JsonArray items = new JsonArray();
        switch (topic) {
            case "keyed.op" -> items.add(item("config", CONFIG));
            case "keyed.servers" -> {
                items.add(item(ENGINE_ID, announcement("writers", 1).encode()));
                items.add(item(PLAIN_ID, announcement("records", 1).encode()));
            }
            default -> {
                // the node's own streams are empty
            }
        }
        return new JsonObject().put("Items", items).put("End", items.size());
    }

    private static JsonObject item(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(Bytes.utf8(value).toArray());
        return new JsonObject().put("Key", key).put("Value", encoded).put("Offset", 0);
    }

    private JsonObject announcement(String service, long sequence) {
        JsonObject entry =
                new JsonObject()
                        .put("Service", service)
                        .put("Address", address.toString())
                        .put("Zone", "selftest")
                        .put("Version", 1)
                        .put("Slots", 4)
                        .put("State", "ready")
                        .put("born", 1)
                        .put("Sequence", sequence);
        if (service.equals("writers")) {
            entry.put("Type", "k");
            order.ifPresent(
                    o ->
                            entry.put(
                                    "Layers",
                                    new JsonObject()
                                            .put("From", o.getInteger("From"))
                                            .put("To", o.getInteger("To"))));
        }
        return entry;
    }

    private void read(HttpServerRequest request) {
        long wait = Long.parseLong(Optional.ofNullable(request.getParam("WaitMs")).orElse("0"));
        if (wait > 0) {
            vertx.setTimer(wait, timer -> page(request));
        } else {
            page(request);
        }
    }

    private void page(HttpServerRequest request) {
        long from = Long.parseLong(request.getParam("From"));
        Buffer records = Buffer.buffer();
        if (request.getParam("Topic").equals("keyed.servers") && order.isPresent()) {
            byte[] value = announcement("writers", from).toBuffer().getBytes();
            records.appendInt(1 + ENGINE_ID.length() + value.length)
                    .appendByte((byte) ENGINE_ID.length())
                    .appendString(ENGINE_ID)
                    .appendBytes(value);
        }
        long end = from + (records.length() > 0 ? 1 : 0);
        request.response().end(Buffer.buffer().appendLong(end).appendLong(0).appendBuffer(records));
    }

    private void serve(HttpServerRequest request) {
        HttpServerResponse response =
                request.response()
                        .putHeader(ATTEMPT_ID, request.getHeader(ATTEMPT_ID))
                        .putHeader("Hyssopturn-Server-Seal", "selftest");
        if (request.path().startsWith("/write/")) {
            response.setChunked(true).end(events());
        } else {
            response.end("found");
        }
    }

    /**
     * Returns the time within which a node must serve requests on this platform. Placement of
     * layers starts only after the announcements have been stable for a while.
     *
     * @return the startup timeout
     */
    public static Duration startupTimeout() {
        return Duration.ofSeconds(10);
    }
}
