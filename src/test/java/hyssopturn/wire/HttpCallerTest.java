package hyssopturn.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.model.Address;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.InDoubtException;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

class HttpCallerTest {
    private static final Vertx vertx = Vertx.vertx();
    private static final Duration LONG = Duration.ofSeconds(10);
    private static final int MANY = 20;
    private static final int NEW_POOL_MILLIS = 20;
    private static final Duration SHORT = Duration.ofMillis(300);

    private final Map<Object, Integer> connections = new ConcurrentHashMap<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile int silentConnections;
    private HttpCaller caller;
    private Address address;

    @BeforeEach
    void startServer() {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    int number =
                                            connections.computeIfAbsent(
                                                    request.connection(),
                                                    c -> accepted.incrementAndGet());
                                    if (number > silentConnections) {
                                        request.response().end(Integer.toString(number));
                                    }
                                })
                        .listen(0, "127.0.0.1")
                        .await();
        address = new Address("127.0.0.1", server.actualPort());
        caller = new HttpCaller(vertx, LONG, LONG);
    }

    @AfterAll
    static void closeVertx() {
        vertx.close().await();
    }

    private CompletableFuture<String> startCall(Duration idleTimeout, Dial dial) {
        return caller.call(HttpMethod.GET, address, "/", Buffer.buffer(), idleTimeout, dial)
                .thenApply(Buffer::toString);
    }

    private String call(Dial dial) {
        return startCall(LONG, dial).join();
    }

    @Test
    void pooledCallsReuseConnections() {
        for (int i = 0; i < MANY; i++) {
            call(Dial.POOLED);
        }
        assertThat(accepted.get(), lessThan(MANY));
    }

    @Test
    void eachFreshCallOpensANewConnection() {
        assertThat(call(Dial.FRESH), is("1"));
        assertThat(call(Dial.FRESH), is("2"));
    }

    @Test
    void freshCallDiscardsPooledConnections() throws InterruptedException {
        assertThat(call(Dial.POOLED), is("1"));
        // a pool younger than the minimum age is not discarded
        Thread.sleep(NEW_POOL_MILLIS);
        assertThat(call(Dial.FRESH), is("2"));
        assertThat(call(Dial.POOLED), is("3"));
    }

    @Test
    void callWithoutAnswerDiscardsPooledConnections() throws InterruptedException {
        silentConnections = 1;
        CompletableFuture<String> silent = startCall(SHORT, Dial.POOLED);
        while (accepted.get() == 0) {
            Thread.sleep(1);
        }
        assertThat(call(Dial.POOLED), is("2"));
        CompletionException error = assertThrows(CompletionException.class, silent::join);
        assertThat(error.getCause(), instanceOf(InDoubtException.class));
        assertThat(call(Dial.POOLED), is("3"));
    }

    @Test
    void callsThatWaitForAConnectionSurviveTheDiscardOfTheirPool() throws InterruptedException {
        call(Dial.POOLED);
        Thread.sleep(NEW_POOL_MILLIS);
        List<CompletableFuture<String>> waiting =
                IntStream.range(0, MANY).mapToObj(i -> startCall(LONG, Dial.POOLED)).toList();
        call(Dial.FRESH);
        waiting.forEach(answer -> assertThat(answer.join(), is(notNullValue())));
    }
}
