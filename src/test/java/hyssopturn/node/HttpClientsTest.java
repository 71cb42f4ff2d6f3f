package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

class HttpClientsTest {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    /** Time within which the operating system certainly drops an abandoned connection. */
    private static final Duration CLEANUP_WAIT = Duration.ofMillis(500);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final FullBacklogServer server;

    HttpClientsTest() throws IOException {
        server = new FullBacklogServer();
    }

    @AfterEach
    void close() throws IOException {
        vertx.close().await();
        server.close();
    }

    private int call(HttpClient client) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost("127.0.0.1")
                        .setPort(server.port())
                        .setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        return client.request(options).compose(r -> r.send()).await().statusCode();
    }

    @Test
    void aTimedOutConnectionAttemptReleasesItsSocket() throws Exception {
        HttpClient client =
                new HttpClients(vertx, new SimpleMeterRegistry()).forStore(1, CONNECT_TIMEOUT);
        assertThrows(Exception.class, () -> call(client));
        Thread.sleep(CLEANUP_WAIT);
        assertThat(countInSynSent(), equalTo(0L));
    }

    /** Counts the connections to the server in state SYN_SENT. */
    private long countInSynSent() throws IOException {
        String remote = ":%04X 02 ".formatted(server.port());
        long count = 0;
        for (String table : List.of("/proc/self/net/tcp", "/proc/self/net/tcp6")) {
            try (Stream<String> lines = Files.lines(Path.of(table))) {
                count += lines.filter(line -> line.contains(remote)).count();
            }
        }
        return count;
    }
}
