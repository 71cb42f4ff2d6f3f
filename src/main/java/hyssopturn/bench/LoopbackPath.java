package hyssopturn.bench;

import hyssopturn.config.ConfigController;
import hyssopturn.config.ConfigRecord;
import hyssopturn.filter.Credentials;
import hyssopturn.front.FrontLimits;
import hyssopturn.front.HttpFront;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.RequestId;
import hyssopturn.model.Zone;
import hyssopturn.node.Node;
import hyssopturn.node.NodeSettings;
import hyssopturn.node.Ports;
import hyssopturn.node.SystemClock;
import hyssopturn.port.EngineClient;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.EngineClient.Step;
import hyssopturn.port.EngineClient.StepResult;
import hyssopturn.port.Instance;
import hyssopturn.port.PeerLink;
import hyssopturn.standin.EngineProfile;
import hyssopturn.standin.ReferenceModel;
import hyssopturn.standin.StandinHost;
import hyssopturn.wire.HttpCaller;
import hyssopturn.wire.HttpEngines;
import hyssopturn.wire.HttpPlatform;
import hyssopturn.wire.HttpServices;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;

import org.HdrHistogram.Histogram;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/** One node over HTTP before stand-ins over HTTP, its threads apart from theirs. */
final class LoopbackPath implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int LAYERS_PER_STAGE = 4;
    private static final int TIMER_THREADS = 1;
    private static final int DIGITS = 3;
    private static final int READY_PAUSE_MILLIS = 20;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Zone ZONE = new Zone("local", "a");
    private static final ModelId MODEL = new ModelId("m", "1");
    private static final EngineProfile INSTANT =
            new EngineProfile(
                    "fast",
                    Duration.ofNanos(100_000),
                    Duration.ZERO,
                    1 << 20,
                    1L << 40,
                    64,
                    Duration.ZERO,
                    Duration.ZERO);

    private final List<Address> engines = new ArrayList<>();
    private final Vertx outside = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
    private final Vertx inside = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final StandinHost standins = new StandinHost(outside);
    private final SystemClock clock = new SystemClock(TIMER_THREADS);
    private final HttpCaller caller = new HttpCaller(inside, TIMEOUT, TIMEOUT);
    private final HttpCaller outsideCaller = new HttpCaller(outside, TIMEOUT, TIMEOUT);
    private final HttpClient streams = outside.createHttpClient();
    private final WebClient client = WebClient.create(outside);
    private final Node node;
    private final HttpServer server;
    private final String token;
    private final Set<Long> threads;

    LoopbackPath(int stages) {
        Address platform = standins.platform(HOST, 0);
        standins.announceTo(platform);
        int layers = stages * LAYERS_PER_STAGE;
        for (int stage = 0; stage < stages; stage++) {
            int from = stage * LAYERS_PER_STAGE;
            LayerRange range = new LayerRange(from, from + LAYERS_PER_STAGE);
            engines.add(standins.engine("e" + stage, ZONE, HOST, 0, INSTANT, MODEL, range, layers));
        }
        HttpPlatform adapter = new HttpPlatform(caller, platform, TIMEOUT);
        adapter.append(
                        ConfigController.STREAM,
                        new ConfigRecord.Publication("slopes", 0, document(layers)).encode())
                .join();
        NodeSettings settings = NodeSettings.trial(ZONE);
        Ports ports =
                new Ports(
                        adapter,
                        adapter,
                        adapter,
                        new HttpEngines(caller),
                        new HttpServices(caller, TIMEOUT),
                        PeerLink.NONE,
                        clock,
                        new SplittableRandom(1));
        PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        Address none = new Address(HOST, 0);
        Instance self =
                new Instance(
                        new InstanceId("n"), 1, new Instance.Role.Node(none), none, ZONE, false);
        node = new Node(self, settings, ports, meters);
        Credentials credentials = new Credentials(settings.accountSecret());
        token = credentials.token(new AccountId("ana"));
        server =
                new HttpFront(node, meters, FrontLimits.SMALL, credentials)
                        .listen(inside, HOST, 0)
                        .await();
        node.start();
        threads = threads();
        awaitReady(stages);
    }

    private static String document(int layers) {
        return """
        format: 1
        models:
          m: {version: "1", layers: %d, layer-bytes: 1MiB}
        classes:
          letter: {model: m, first-token: 10s, between-tokens: 10s, share: 0.95}
        """
                .formatted(layers);
    }

    private Set<Long> threads() {
        Set<Long> found = ConcurrentHashMap.newKeySet();
        inside.runOnContext(nothing -> found.add(Thread.currentThread().threadId()));
        clock.after(Duration.ZERO, () -> found.add(Thread.currentThread().threadId()));
        while (found.size() < 1 + TIMER_THREADS) {
            pause();
        }
        return new HashSet<>(found);
    }

    private void awaitReady(int stages) {
        long limit = System.nanoTime() + TIMEOUT.toNanos();
        while (!node.ready() || node.view().engines().size() < stages) {
            if (System.nanoTime() > limit) {
                throw new IllegalStateException("the node did not become ready");
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(READY_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /**
     * What streams cost.
     *
     * @param micros processor time of the node's threads, in microseconds
     * @param tokens tokens that came
     */
    record Cost(double micros, long tokens) {}

    /** Runs streams at once. */
    Cost run(int streams, int tokens) {
        double before = Usage.cpuMicros(threads);
        List<Future<HttpResponse<Buffer>>> answers = new ArrayList<>();
        for (int i = 0; i < streams; i++) {
            answers.add(post("how is Bella " + i, tokens));
        }
        long came = answers.stream().mapToLong(answer -> tokens(answer.await())).sum();
        return new Cost(Usage.cpuMicros(threads) - before, came);
    }

    /** Streams one answer through the node; times the gap before each token after the first. */
    Histogram through(int tokens) {
        Histogram gaps = new Histogram(DIGITS);
        long[] previous = {0};
        HttpClientResponse response =
                streams.request(
                                new RequestOptions()
                                        .setMethod(HttpMethod.POST)
                                        .setHost(HOST)
                                        .setPort(server.actualPort())
                                        .setURI("/v1/chat/completions")
                                        .putHeader("Authorization", "Bearer " + token))
                        .compose(request -> request.send(body("how is Bella", tokens).toBuffer()))
                        .map(
                                answer ->
                                        answer.handler(
                                                part -> {
                                                    long now = System.nanoTime();
                                                    if (previous[0] > 0) {
                                                        gaps.recordValue(now - previous[0]);
                                                    }
                                                    previous[0] = now;
                                                }))
                        .await();
        response.end().await();
        return gaps;
    }

    /** Drives tokens through the engines without a node; times each token after the first. */
    Histogram direct(int tokens) {
        Histogram times = new Histogram(DIGITS);
        EngineClient client = new HttpEngines(outsideCaller);
        RequestId request = new RequestId("direct");
        Bytes input = ReferenceModel.pack(1, 2, 3);
        int position = 0;
        int count = 3;
        for (int i = 0; i < tokens; i++) {
            long start = System.nanoTime();
            StepResult result = null;
            Bytes activation = input;
            for (int stage = 0; stage < engines.size(); stage++) {
                int from = stage * LAYERS_PER_STAGE;
                LayerRange range = new LayerRange(from, from + LAYERS_PER_STAGE);
                Step step = new Step(request, 1, MODEL, range, position, count, activation, 0, 0);
                result = client.step(engines.get(stage), step, Dial.POOLED).join();
                activation = result.output();
            }
            if (i > 0) {
                times.recordValue(System.nanoTime() - start);
            }
            position += count;
            count = 1;
            input = ReferenceModel.pack(result.token().orElseThrow().id());
        }
        return times;
    }

    private static long tokens(HttpResponse<Buffer> answer) {
        String events = answer.bodyAsString();
        if (!events.contains("\"outcome\":\"done\"")) {
            throw new IllegalStateException("an answer is not whole: " + events);
        }
        // the last event of an answer carries its outcome and no token
        return events.lines().filter(line -> line.startsWith("id:")).count() - 1;
    }

    private Future<HttpResponse<Buffer>> post(String prompt, int tokens) {
        return client.post(server.actualPort(), HOST, "/v1/chat/completions")
                .bearerTokenAuthentication(token)
                .sendJsonObject(body(prompt, tokens));
    }

    private static JsonObject body(String prompt, int tokens) {
        return new JsonObject()
                .put("model", "letter")
                .put("stream", true)
                .put("max_tokens", tokens)
                .put("messages", new JsonArray().add(new JsonObject().put("content", prompt)));
    }

    @Override
    public void close() {
        node.stop();
        server.close().await();
        caller.close();
        outsideCaller.close();
        clock.close();
        standins.close();
        client.close();
        inside.close().await();
        outside.close().await();
    }
}
