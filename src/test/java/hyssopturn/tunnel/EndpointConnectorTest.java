package hyssopturn.tunnel;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.model.Address;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.RequestOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

class EndpointConnectorTest {
    private static final String HOST = "127.0.0.1";
    private static final int SECONDS = 10;
    private static final int ENDPOINTS = 4;
    private static final int LIMIT = 50;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final HttpClient client =
            vertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger directTries = new AtomicInteger();
    private final List<Integer> endpoints = new ArrayList<>();
    private final List<Boolean> reports = new CopyOnWriteArrayList<>();
    private final EndpointConnector connector =
            new EndpointConnector(
                    this::direct,
                    client,
                    new LoopClock(vertx),
                    new SplittableRandom(1),
                    reports::add,
                    new SimpleMeterRegistry());
    private volatile Link link = Link.SOUND;

    /** What becomes of this node's own connections to endpoints. */
    private enum Link {
        SOUND,
        REFUSED,
        SILENT
    }

    private Future<HttpClientRequest> direct(RequestOptions options) {
        directTries.incrementAndGet();
        return switch (link) {
            case SOUND -> client.request(options);
            case REFUSED -> Future.failedFuture(new ConnectException("refused"));
            case SILENT ->
                    vertx.timer(300, TimeUnit.MILLISECONDS)
                            .compose(v -> Future.failedFuture(new ConnectException("timed out")));
        };
    }

    @BeforeEach
    void start() {
        for (int i = 0; i < ENDPOINTS; i++) {
            HttpServer server =
                    vertx.createHttpServer()
                            .requestHandler(
                                    r ->
                                            r.body()
                                                    .onSuccess(
                                                            b -> {
                                                                runs.incrementAndGet();
                                                                r.response().end("done");
                                                            }));
            endpoints.add(server.listen(0, HOST).await().actualPort());
        }
    }

    @AfterEach
    void close() throws Exception {
        get(vertx.close());
    }

    /** Runs a step on the event loop, as a node does, and waits for its result. */
    private <T> T onLoop(Supplier<Future<T>> step) throws Exception {
        Promise<T> result = Promise.promise();
        vertx.runOnContext(v -> step.get().onComplete(result));
        return get(result.future());
    }

    private static <T> T get(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(SECONDS, TimeUnit.SECONDS);
    }

    /** Starts other nodes, of which some reach no endpoint either. */
    private void helpers(int reaching, int cutOff) {
        List<Address> tunnels = new ArrayList<>();
        for (int i = 0; i < reaching + cutOff; i++) {
            Address tunnel = new Address(HOST, Ports.free());
            boolean reaches = i < reaching;
            new TunnelServer(vertx, a -> reaches, LIMIT, new SimpleMeterRegistry())
                    .listen(tunnel)
                    .await();
            tunnels.add(tunnel);
        }
        connector.helpers(tunnels);
    }

    private void send(int endpoint) throws Exception {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(HOST)
                        .setPort(endpoints.get(endpoint));
        onLoop(
                () ->
                        connector
                                .request(options)
                                .compose(r -> r.send("once"))
                                .compose(r -> r.body()));
    }

    private void sendToAll() throws Exception {
        for (int i = 0; i < ENDPOINTS; i++) {
            send(i);
        }
    }

    @Nested
    class CutOff {
        /** Guards against requests that fail at a node which only has lost its own links. */
        @ParameterizedTest
        @EnumSource(names = {"REFUSED", "SILENT"})
        void requestsReachEndpointsThroughOtherNodes(Link lost) throws Exception {
            helpers(1, 2);
            link = lost;
            sendToAll();
            assertThat(runs.get(), equalTo(ENDPOINTS));
        }

        /** Guards against requests that are run twice, by way of this node and of another one. */
        @Test
        void aRequestRunsOnceThoughSeveralWaysAreOpen() throws Exception {
            helpers(3, 0);
            link = Link.REFUSED;
            sendToAll();
            link = Link.SOUND;
            for (int i = 0; i < 20; i++) {
                send(i % ENDPOINTS);
            }
            assertThat(runs.get(), equalTo(ENDPOINTS + 20));
        }

        @Test
        void ownConnectionsAreRarelyTriedMeanwhile() throws Exception {
            helpers(2, 0);
            link = Link.REFUSED;
            sendToAll();
            int before = directTries.get();
            for (int i = 0; i < 20; i++) {
                send(i % ENDPOINTS);
            }
            assertThat(directTries.get() - before, lessThan(20));
        }

        @Test
        void anEndpointThatNoNodeReachesFails() {
            helpers(0, 2);
            link = Link.REFUSED;
            assertThrows(ExecutionException.class, () -> send(0));
        }

        @Test
        void otherNodesTellThatAnEndpointListens() throws Exception {
            helpers(1, 1);
            link = Link.REFUSED;
            Address endpoint = new Address(HOST, endpoints.getFirst());
            assertThat(onLoop(() -> connector.reachedByOthers(endpoint)), is(true));
            Address nobody = new Address(HOST, Ports.free());
            assertThat(onLoop(() -> connector.reachedByOthers(nobody)), is(false));
        }
    }

    @Nested
    class Sound {
        @Test
        void requestsGoDirectly() throws Exception {
            helpers(2, 0);
            sendToAll();
            assertThat(directTries.get(), equalTo(ENDPOINTS));
        }

        @Test
        void linksThatAreBackAreUsedAgain() throws Exception {
            helpers(2, 0);
            link = Link.REFUSED;
            sendToAll();
            link = Link.SOUND;
            get(vertx.timer(EndpointPaths.VALIDITY.toMillis(), TimeUnit.MILLISECONDS));
            int before = directTries.get();
            sendToAll();
            assertThat(directTries.get() - before, equalTo(ENDPOINTS));
            assertThat(reports, contains(true, false));
        }

        @Test
        void withoutOtherNodesAnErrorIsThatOfTheConnection() {
            link = Link.REFUSED;
            ExecutionException error = assertThrows(ExecutionException.class, () -> send(0));
            assertThat(error.getCause().getMessage(), equalTo("refused"));
        }
    }
}
