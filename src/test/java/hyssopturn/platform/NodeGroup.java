package hyssopturn.platform;

import hyssopturn.model.Address;
import hyssopturn.node.RelayNode;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Test harness: several whole nodes, each on an event loop of its own, one log store, and plain
 * endpoints that tests script.
 */
final class NodeGroup implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_CONNECTIONS = 400;

    /** Time after which a request without an answer fails; longer than its own deadline. */
    private static final int ANSWER_SECONDS = 15;

    private final LogStoreServer store = new LogStoreServer();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final HttpClient client =
            vertx.createHttpClient(
                    new HttpClientOptions().setKeepAlive(false),
                    new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    private final List<Member> members = new ArrayList<>();
    private final AtomicInteger requestCount = new AtomicInteger();

    private static final class Member {
        private final PlatformSettings settings;
        private Vertx vertx;
        private RelayNode node;

        Member(PlatformSettings settings) {
            this.settings = settings;
            start();
        }

        void start() {
            vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
            node = new RelayNode(vertx, settings, TestNodes.own(), OutputStream.nullOutputStream());
            node.start();
        }

        void kill() {
            node.close();
            vertx.close().await();
        }
    }

    /** An answer to a caller. */
    record Answer(int status, Optional<Double> retryAfterSeconds) {}

    LogStoreServer store() {
        return store;
    }

    /** Starts a plain endpoint of the service "records" and announces it. */
    void endpoint(String id, Handler<HttpServerRequest> handler) {
        int port =
                vertx.createHttpServer()
                        .requestHandler(handler)
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        announce(id, new Address(HOST, port), 1);
    }

    /** Announces a plain endpoint of the service "records". */
    void announce(String id, Address address, long sequence) {
        String entry =
                new JsonObject()
                        .put("Service", "records")
                        .put("Address", address.toString())
                        .put("Zone", "a")
                        .put("Version", 1)
                        .put("Slots", 1_000)
                        .put("State", "ready")
                        .put("born", 1)
                        .put("Sequence", sequence)
                        .encode();
        store.write("servers", id, Optional.of(entry));
    }

    /** Starts nodes, and returns when all of them are ready. */
    void startNodes(int count) {
        for (int i = 0; i < count; i++) {
            members.add(new Member(TestNodes.settings("n" + members.size(), store.open())));
        }
        awaitReady();
    }

    /** Ends a node without any notice. */
    void kill(int node) {
        members.get(node).kill();
    }

    /** Starts a node again that was ended. */
    void restart(int node) {
        members.get(node).start();
    }

    /** Returns whether a node says that it is ready. */
    boolean ready(int node) {
        Address readiness = members.get(node).settings.readiness();
        return client.request(HttpMethod.GET, readiness.port(), HOST, "/v1/ready")
                .compose(r -> r.send())
                .map(r -> r.statusCode() == 200)
                .otherwise(false)
                .await();
    }

    /** Returns the value of a metric of a node, 0 if it has none of that name. */
    double metric(int node, String name) {
        Address metrics = members.get(node).settings.metrics();
        return client.request(HttpMethod.GET, metrics.port(), HOST, "/metrics")
                .compose(r -> r.send())
                .compose(HttpClientResponse::body)
                .map(
                        body ->
                                body.toString()
                                        .lines()
                                        .filter(line -> line.startsWith(name + " "))
                                        .mapToDouble(
                                                line ->
                                                        Double.parseDouble(
                                                                line.substring(name.length() + 1)))
                                        .findFirst()
                                        .orElse(0))
                .await();
    }

    private void awaitReady() {
        for (int i = 0; i < members.size(); i++) {
            while (!ready(i)) {
                pause(Duration.ofMillis(10));
            }
        }
    }

    /**
     * Sends a request to a node. The body is asked for on the event loop as soon as the head has
     * been read, since bytes that nobody reads yet are discarded.
     */
    Future<Answer> send(int node, String path) {
        Address front = members.get(node).settings.front();
        return client.request(HttpMethod.POST, front.port(), HOST, path)
                .compose(
                        request ->
                                request.putHeader("Host", Configs.HOST)
                                        .putHeader("X-Api-Key", Configs.KEY)
                                        .putHeader(
                                                "Hyssopturn-Attempt-Id",
                                                "r" + requestCount.incrementAndGet())
                                        .putHeader("Hyssopturn-Deadline-Ms", "5000")
                                        .send("body")
                                        .compose(NodeGroup::answer))
                .timeout(ANSWER_SECONDS, TimeUnit.SECONDS);
    }

    private static Future<Answer> answer(HttpClientResponse response) {
        Optional<Double> retryAfter = seconds(response.getHeader("Retry-After"));
        return response.body().map(b -> new Answer(response.statusCode(), retryAfter));
    }

    private static Optional<Double> seconds(String text) {
        return Optional.ofNullable(text).map(Double::parseDouble);
    }

    /** Runs a task on the callers' event loop after a delay. */
    void later(Duration delay, Runnable task) {
        vertx.setTimer(Math.max(1, delay.toMillis()), t -> task.run());
    }

    static void pause(Duration span) {
        try {
            Thread.sleep(span);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        members.forEach(Member::kill);
        vertx.close().await();
        store.close();
    }
}
