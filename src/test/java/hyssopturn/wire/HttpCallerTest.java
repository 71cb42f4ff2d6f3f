package hyssopturn.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
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
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

class HttpCallerTest {
    private static final Vertx vertx = Vertx.vertx();
    private static final Duration LONG = Duration.ofSeconds(10);
    private static final int MANY = 20;
    private static final int YOUNG_MILLIS = 20;
    private static final Duration SHORT = Duration.ofMillis(300);

    private final Map<Object, Integer> connections = new ConcurrentHashMap<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile int silentUpTo;
    private HttpCaller caller;
    private Address at;

    @BeforeEach
    void serve() {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    int number =
                                            connections.computeIfAbsent(
                                                    request.connection(),
                                                    c -> accepted.incrementAndGet());
                                    if (number > silentUpTo) {
                                        request.response().end(Integer.toString(number));
                                    }
                                })
                        .listen(0, "127.0.0.1")
                        .await();
        at = new Address("127.0.0.1", server.actualPort());
        caller = new HttpCaller(vertx, LONG, LONG);
    }

    @AfterAll
    static void stop() {
        vertx.close().await();
    }

    private CompletableFuture<String> begin(Duration wait, Dial dial) {
        return caller.call(HttpMethod.GET, at, "/", Buffer.buffer(), wait, dial)
                .thenApply(Buffer::toString);
    }

    private String call(Dial dial) {
        return begin(LONG, dial).join();
    }

    @Test
    void pooledCallsShareConnections() {
        for (int i = 0; i < MANY; i++) {
            call(Dial.POOLED);
        }
        assertThat(accepted.get(), lessThan(MANY));
    }

    @Test
    void freshCallsMakeAConnectionEach() {
        assertThat(call(Dial.FRESH), is("1"));
        assertThat(call(Dial.FRESH), is("2"));
    }

    @Test
    void freshCallGivesUpPooledConnections() throws InterruptedException {
        assertThat(call(Dial.POOLED), is("1"));
        // a pool just made counts as new
        Thread.sleep(YOUNG_MILLIS);
        assertThat(call(Dial.FRESH), is("2"));
        assertThat(call(Dial.POOLED), is("3"));
    }

    @Test
    void silentConnectionMakesAllPooledOnesSuspect() throws InterruptedException {
        silentUpTo = 1;
        CompletableFuture<String> silent = begin(SHORT, Dial.POOLED);
        while (accepted.get() == 0) {
            Thread.sleep(1);
        }
        assertThat(call(Dial.POOLED), is("2"));
        CompletionException error = assertThrows(CompletionException.class, silent::join);
        assertThat(error.getCause(), instanceOf(InDoubtException.class));
        assertThat(call(Dial.POOLED), is("3"));
    }
}
