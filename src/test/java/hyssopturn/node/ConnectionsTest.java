package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

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

class ConnectionsTest {
    private static final Duration CONNECT = Duration.ofMillis(150);

    /** Time in which the system surely drops a connection that was given up. */
    private static final Duration AFTER = Duration.ofMillis(500);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final SilentServer server;

    ConnectionsTest() throws IOException {
        server = new SilentServer();
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
                        .setConnectTimeout(CONNECT.toMillis());
        return client.request(options).compose(r -> r.send()).await().statusCode();
    }

    @Test
    void aConnectionThatWasGivenUpHoldsNoPlace() throws Exception {
        HttpClient client = Connections.oneCallEach(vertx, 1, CONNECT);
        assertThrows(Exception.class, () -> call(client));
        Thread.sleep(AFTER);
        assertThat(connecting(), equalTo(0L));
    }

    /** Counts the connections to the server whose opening packet has no answer yet. */
    private long connecting() throws IOException {
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
