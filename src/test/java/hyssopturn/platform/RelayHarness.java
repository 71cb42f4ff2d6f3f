package hyssopturn.platform;

import hyssopturn.catalog.Catalog;
import hyssopturn.chain.EngineLoad;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.limit.EndpointLimits;
import hyssopturn.limit.SoleIssuer;
import hyssopturn.load.LoadView;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.Liveness;
import hyssopturn.quarantine.PromptGuard;
import hyssopturn.quarantine.PromptQuarantine;
import hyssopturn.relay.AnswerMemory;
import hyssopturn.relay.BodyMemory;
import hyssopturn.relay.EndpointNotices;
import hyssopturn.relay.LoopLag;
import hyssopturn.relay.Relay;
import hyssopturn.relay.RelayContext;
import hyssopturn.relay.RelaySettings;
import hyssopturn.relay.RetryBudget;
import hyssopturn.relay.RoutingState;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;
import hyssopturn.wire.WriteFailureHandler;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/** Test harness: a relay on loopback between one caller and workers that are simulated by tests. */
final class RelayHarness implements AutoCloseable {
    static final String BODY = "the caller's body";

    /** Stall timeout, long enough that only engines that have stalled for good are queried. */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(400);

    /** How long an endpoint that announced its shutdown serves what no other one can. */
    static final Duration SHUTDOWN_PERIOD = Duration.ofMillis(1_500);

    /** Memory for incomplete answers, in bytes. */
    static final long ANSWER_MEMORY_BYTES = 16_000_000;

    /** Memory for bodies of callers, in bytes. */
    static final long BODY_MEMORY_BYTES = 32_000_000;

    /** Longest time for which the retry budget counts a retry: its window and one part of it. */
    private static final Duration RETRY_COUNTING_TIME = Duration.ofMillis(10_500);

    /** Connections to each server, of callers and of the relay. */
    private static final int MAX_CONNECTIONS = 200;

    private static final String HOST = "127.0.0.1";

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final AtomicInteger writeFailures = new AtomicInteger();
    private final HttpClient client;
    private final RoutingState knowledge = new RoutingState();
    private final EngineLoad load = new EngineLoad(loadNoise(), 10);
    private final PlatformHeaders platformHeaders = new PlatformHeaders(new SimpleMeterRegistry());
    private final FaultyHeaders headers = new FaultyHeaders(platformHeaders);
    private final AnswerMemory answerMemory = new AnswerMemory(ANSWER_MEMORY_BYTES);
    private final BodyMemory bodyMemory = new BodyMemory(BODY_MEMORY_BYTES);
    private final RetryBudget retryBudget =
            new RetryBudget(0.2, Duration.ofSeconds(10).toNanos(), 100, 1);
    private final List<String> requestIds = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger requestCount = new AtomicInteger();
    private final TraceLog trace;
    private final Relay relay;
    private final int port;
    private final Map<Address, Liveness> failedProbes = new ConcurrentHashMap<>();
    private final Map<String, Endpoint> announced = new HashMap<>();
    private volatile Runnable onFirstEvent = () -> {};
    private final AdjustableClock clock = new AdjustableClock(vertx);
    private long configVersion = RelayHarnessConfig.FIRST_VERSION;
    private volatile boolean chainSearchFails;
    private final List<TraceEvent> events = Collections.synchronizedList(new ArrayList<>());

    /** An answer as the caller received it; complete unless the connection was cut off. */
    record Answer(int status, MultiMap headers, String body, boolean complete) {}

    RelayHarness() {
        this(true);
    }

    /** Starts a relay with or without a configuration. */
    RelayHarness(boolean configured) {
        this(
                configured,
                new HttpClientOptions(),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /** Starts a relay whose connections have options of their own, as those of its callers. */
    RelayHarness(boolean configured, HttpClientOptions options, PoolOptions pool) {
        client =
                vertx.httpClientBuilder()
                        .with(options.setKeepAlive(false))
                        .with(pool)
                        .withConnectHandler(
                                c -> WriteFailureHandler.watch(c, writeFailures::incrementAndGet))
                        .build();
        trace = new TraceLog("test", clock, OutputStream.nullOutputStream(), 1_000, events::add);
        EndpointLimits limits = SoleIssuer.limits(clock);
        EndpointNotices notices =
                new EndpointNotices(
                        knowledge.roster(), limits, clock, trace, new SimpleMeterRegistry());
        Catalog catalog = RelayHarnessConfig.catalog();
        if (configured) {
            knowledge.update(catalog);
        }
        RelayContext parts =
                new RelayContext(
                        knowledge,
                        headers,
                        client::request,
                        clock,
                        new SplittableRandom(1),
                        retryBudget,
                        load,
                        LoadView.NONE,
                        new InterZoneBudget(1),
                        (address, reference) ->
                                CompletableFuture.completedFuture(
                                        failedProbes.getOrDefault(address, Liveness.LISTENS)),
                        new LoopLag(),
                        endpoint -> {},
                        answerMemory,
                        limits,
                        notices,
                        new PromptGuard(new PromptQuarantine(0), clock, trace, report -> {}),
                        trace,
                        new SimpleMeterRegistry(),
                        new RelaySettings(
                                "a",
                                Duration.ofSeconds(5),
                                STALL_TIMEOUT,
                                STALL_TIMEOUT,
                                STALL_TIMEOUT,
                                STALL_TIMEOUT,
                                SHUTDOWN_PERIOD,
                                Duration.ofSeconds(1),
                                true,
                                true));
        relay =
                new Relay(
                        parts,
                        new HttpEngineControl(
                                new HttpCalls(
                                        client::request,
                                        clock,
                                        answerMemory,
                                        new SimpleMeterRegistry(),
                                        "engine"),
                                platformHeaders,
                                notices),
                        bodyMemory);
        relay.start();
        HttpServer server = vertx.createHttpServer().requestHandler(relay::handle);
        port = server.listen(0, HOST).await().actualPort();
    }

    private RandomGenerator loadNoise() {
        SplittableRandom noise = new SplittableRandom(1);
        return () -> {
            if (chainSearchFails) {
                throw new IllegalStateException("unexpected");
            }
            return noise.nextLong();
        };
    }

    /** Sets whether the choice of a chain fails with an unexpected error. */
    void chainSearchFails(boolean fails) {
        chainSearchFails = fails;
    }

    /** Returns the logged outcomes of requests, in the order in which they ended. */
    List<String> outcomes() {
        return events().stream()
                .filter(TraceEvent.Ended.class::isInstance)
                .map(e -> ((TraceEvent.Ended) e).outcome())
                .toList();
    }

    /** Returns the logged states of an endpoint, in the order in which they began. */
    List<String> statesOf(String id) {
        return events().stream()
                .filter(TraceEvent.EndpointChanged.class::isInstance)
                .map(TraceEvent.EndpointChanged.class::cast)
                .filter(e -> e.endpoint().equals(id))
                .map(TraceEvent.EndpointChanged::state)
                .toList();
    }

    /** Ends the requests in progress as a node does whose process is about to exit. */
    void endRemaining() {
        onLoop(
                () -> {
                    relay.giveUpBeforeExit();
                    relay.breakOffBeforeExit();
                });
    }

    /**
     * Starts to drain the relay as a node does that is told to stop.
     *
     * @param accepting time during which requests are accepted
     * @param answering time after which requests without an answer are given up
     */
    void drain(Duration accepting, Duration answering) {
        onLoop(() -> relay.drain(accepting, answering));
    }

    /** Sets whether decoding the headers of requests fails with an unexpected error. */
    void decodingFails(boolean fails) {
        headers.decodingFails(fails);
    }

    /** Sets whether no request to an endpoint can be encoded. */
    void encodingFails(boolean fails) {
        headers.encodingFails(fails);
    }

    /** Puts the next version of the configuration into force, with other client accounts. */
    void configureAccounts(String accounts) {
        configure(RelayHarnessConfig.catalog(++configVersion, accounts));
    }

    /** Puts a configuration into force. */
    void configure(Catalog next) {
        onLoop(() -> knowledge.update(next));
    }

    /** Advances time so that the configuration is no longer known to be up to date. */
    void expireConfirmation() {
        clock.advance(RoutingState.MAX_FRESH_AGE);
    }

    /** Lets the relay's clock run slower, so that its short times are long for the machine. */
    void slowClock(int divisor) {
        clock.slowDown(divisor);
    }

    /** Starts a worker that holds every layer. */
    void engine(String id, Handler<HttpServerRequest> handler) {
        start(id, Optional.of(new LayerRange(0, 80)), handler);
    }

    /** Starts a worker that holds a range of layers and returns its address. */
    Address engine(String id, int from, int to, Handler<HttpServerRequest> handler) {
        return start(id, Optional.of(new LayerRange(from, to)), handler);
    }

    /** Starts a worker of the plain service. */
    void service(String id, Handler<HttpServerRequest> handler) {
        start(id, Optional.empty(), handler);
    }

    private Address start(
            String id, Optional<LayerRange> layers, Handler<HttpServerRequest> handler) {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(
                                r -> {
                                    requestIds.add(r.getHeader("Hyssopturn-Attempt-Id"));
                                    handler.handle(r);
                                });
        Address address = new Address(HOST, server.listen(0, HOST).await().actualPort());
        announce(id, address, layers);
        return address;
    }

    /**
     * Announces a worker that another server simulates; without a range it belongs to the plain
     * service.
     */
    void announce(String id, Address address, Optional<LayerRange> layers) {
        Endpoint endpoint =
                new Endpoint(
                        new InstanceId(id),
                        layers.isPresent() ? "writers" : "records",
                        address,
                        "a",
                        6,
                        false,
                        layers.isPresent() ? "k" : "",
                        layers,
                        1,
                        1);
        announced.put(id, endpoint);
        onLoop(() -> knowledge.roster().announce(endpoint, 0));
    }

    private void onLoop(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(
                v -> {
                    task.run();
                    done.complete(null);
                });
        done.join();
    }

    /** Returns the tokens that requests in progress are counted with at the engines. */
    double heldTokens() {
        CompletableFuture<Double> tokens = new CompletableFuture<>();
        onLoop(() -> tokens.complete(load.zoneTokens()));
        return tokens.join();
    }

    /** Computes something about the relay on its event loop. */
    <T> T onRelay(Function<Relay, T> function) {
        CompletableFuture<T> result = new CompletableFuture<>();
        onLoop(() -> result.complete(function.apply(relay)));
        return result.join();
    }

    /** Returns the events that were logged so far. */
    List<TraceEvent> events() {
        synchronized (events) {
            return List.copyOf(events);
        }
    }

    /** Returns the address at which the relay accepts callers. */
    Address front() {
        return new Address(HOST, port);
    }

    /** Returns the size of all bodies of callers that the relay holds, in bytes. */
    long heldBodyBytes() {
        CompletableFuture<Long> bytes = new CompletableFuture<>();
        onLoop(() -> bytes.complete(bodyMemory.heldBytes()));
        return bytes.join();
    }

    /** Returns the same as {@link #heldBodyBytes}, to a handler of an endpoint. */
    long heldBodyBytesOnLoop() {
        return bodyMemory.heldBytes();
    }

    /** Returns the size of all incomplete answers that the relay holds, in bytes. */
    long heldAnswerBytes() {
        CompletableFuture<Long> bytes = new CompletableFuture<>();
        onLoop(() -> bytes.complete(answerMemory.heldBytes()));
        return bytes.join();
    }

    /** Uses up the retry budgets of both services. */
    void exhaustRetries() {
        onLoop(() -> List.of("writers", "records").forEach(this::exhaustRetries));
    }

    private void exhaustRetries(String service) {
        long now = clock.machineNanos();
        while (retryBudget.tryAcquire(service, RetryBudget.AnswerState.STARTED, now)) {
            // each call uses the budget for one retry
        }
    }

    /** Uses up the retry budgets, which come back within the time from now on. */
    void exhaustRetriesFor(Duration time) {
        exhaustRetries();
        clock.advance(RETRY_COUNTING_TIME.minus(time));
    }

    /** Returns how many events of a kind were logged. */
    long logged(Class<? extends TraceEvent> kind) {
        synchronized (events) {
            return events.stream().filter(kind::isInstance).count();
        }
    }

    /** Lets another node report a worker as failed. */
    void report(String id) {
        Endpoint endpoint = announced.get(id);
        onLoop(
                () ->
                        knowledge
                                .roster()
                                .suspect(
                                        endpoint.id(),
                                        endpoint.incarnation(),
                                        Evidence.REPORT,
                                        clock.machineNanos()));
    }

    /** Lets liveness probes of a worker fail. */
    void failProbes(Address worker) {
        failedProbes.put(worker, Liveness.FAILED);
    }

    /** Runs a task when the caller receives the first bytes of an answer. */
    void afterFirstEvent(Runnable task) {
        onFirstEvent = task;
    }

    /** Runs a task after 100 ms. */
    void runLater(Runnable task) {
        runAfter(Duration.ofMillis(100), task);
    }

    /** Runs a task on the event loop after a delay. */
    void runAfter(Duration delay, Runnable task) {
        vertx.setTimer(delay.toMillis(), timer -> task.run());
    }

    /** Announces that a worker is leaving; must run on the event loop. */
    void announceLeaving(String id) {
        Endpoint current = announced.get(id);
        knowledge.roster().announce(changed(current, true, current.incarnation()), 0);
    }

    /** Announces a worker again, as started at a given time. */
    void announceAgain(String id, long incarnation) {
        Endpoint next = changed(announced.get(id), false, incarnation);
        onLoop(() -> knowledge.roster().announce(next, 0));
    }

    private static Endpoint changed(Endpoint current, boolean leaving, long incarnation) {
        return new Endpoint(
                current.id(),
                current.service(),
                current.address(),
                current.zone(),
                current.slots(),
                leaving,
                current.kind(),
                current.layers(),
                incarnation,
                current.heartbeat() + 1);
    }

    /** Removes a worker from the list. */
    void remove(String id) {
        onLoop(
                () -> {
                    knowledge.roster().remove(new InstanceId(id), 0);
                    knowledge.roster().purge(0);
                });
    }

    /** Returns the address that a worker was announced with. */
    Address addressOf(String id) {
        return announced.get(id).address();
    }

    /** Returns the number of connections that failed while a request was written. */
    int writeFailures() {
        return writeFailures.get();
    }

    /** Returns the ids of the requests that reached workers. */
    List<String> requestIds() {
        return List.copyOf(requestIds);
    }

    /** Returns the response to a request with the headers that identify a worker's answer. */
    static HttpServerResponse signed(HttpServerRequest request) {
        return request.response()
                .putHeader("Hyssopturn-Attempt-Id", request.getHeader("Hyssopturn-Attempt-Id"))
                .putHeader("Hyssopturn-Server-Seal", "signature");
    }

    Answer call(String path, Map<String, String> headers) {
        return send(path, headers).await();
    }

    /** Sends requests at the same time and returns their answers. */
    List<Answer> callTogether(String path, int count) {
        List<Future<Answer>> answers =
                IntStream.range(0, count).mapToObj(i -> send(path, Map.of())).toList();
        return answers.stream().map(answer -> answer.await()).toList();
    }

    /** Keeps a number of requests in progress; each is followed by another a little later. */
    void keepCalling(String path, int count) {
        IntStream.range(0, count).forEach(i -> keepCalling(path));
    }

    private void keepCalling(String path) {
        send(path, Map.of()).onComplete(r -> runLater(() -> keepCalling(path)));
    }

    /** Sends a request and reads the answer on the event loop, which discards unread bytes. */
    private Future<Answer> send(String path, Map<String, String> headers) {
        return send(path, headers, request -> {});
    }

    /** Sends a request whose caller closes its connection after a time, unless it is answered. */
    Optional<Answer> callUntil(String path, Map<String, String> headers, Duration leaves) {
        return send(
                        path,
                        headers,
                        request ->
                                vertx.setTimer(
                                        leaves.toMillis(), t -> request.connection().close()))
                .map(Optional::of)
                .otherwise(Optional.empty())
                .await();
    }

    private Future<Answer> send(
            String path, Map<String, String> headers, Handler<HttpClientRequest> opened) {
        return client.request(HttpMethod.POST, port, HOST, path)
                .compose(
                        request -> {
                            request.putHeader("Host", "town.example");
                            request.putHeader("X-Api-Key", "key-1");
                            request.putHeader(
                                    "Hyssopturn-Attempt-Id", "r" + requestCount.incrementAndGet());
                            request.putHeader("Hyssopturn-Token-Counts", "10,10");
                            request.putHeader("Hyssopturn-Deadline-Ms", "10000");
                            headers.forEach(request::putHeader);
                            opened.handle(request);
                            return request.send(BODY).compose(this::read);
                        });
    }

    private Future<Answer> read(HttpClientResponse response) {
        Buffer body = Buffer.buffer();
        response.handler(
                bytes -> {
                    if (body.length() == 0) {
                        onFirstEvent.run();
                    }
                    body.appendBuffer(bytes);
                });
        return response.end()
                .map(true)
                .otherwise(false)
                .map(
                        complete ->
                                new Answer(
                                        response.statusCode(),
                                        response.headers(),
                                        body.toString(),
                                        complete));
    }

    /** Sends a call and closes the connection once a worker has received the request. */
    void callAndDisconnect(String path, CompletableFuture<Void> arrived) {
        client.request(HttpMethod.POST, port, HOST, path)
                .onSuccess(
                        request -> {
                            request.putHeader("Host", "town.example");
                            request.putHeader("X-Api-Key", "key-1");
                            request.putHeader("Hyssopturn-Attempt-Id", "leaver");
                            request.send(BODY);
                            arrived.thenRun(() -> request.connection().close());
                        });
    }

    @Override
    public void close() {
        trace.close();
        vertx.close().await();
    }
}
