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
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

class ConnectionsTest {
    private static final Duration CONNECT = Duration.ofMillis(150);

    /** Time in which the system surely drops a connection that was given up. */
    private static final Duration AFTER = Duration.ofMillis(500);

    private static final int FILLERS = 8;
    private static final int FILLER_MILLIS = 100;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<Socket> fillers = new ArrayList<>();
    private final ServerSocket server = server();

    private static ServerSocket server() {
        try {
            return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void close() throws IOException {
        vertx.close().await();
        server.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }

    /** Fills the queue of connections, so that further opening packets are dropped. */
    private void silence() throws IOException {
        for (int i = 0; i < FILLERS; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), FILLER_MILLIS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
        throw new IllegalStateException("the queue of connections is never full");
    }

    private int call(HttpClient client) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost("127.0.0.1")
                        .setPort(server.getLocalPort())
                        .setConnectTimeout(CONNECT.toMillis());
        return client.request(options).compose(r -> r.send()).await().statusCode();
    }

    @Test
    void aConnectionThatWasGivenUpHoldsNoPlace() throws Exception {
        HttpClient client = Connections.oneCallEach(vertx, 1, CONNECT);
        silence();
        assertThrows(Exception.class, () -> call(client));
        Thread.sleep(AFTER);
        assertThat(connecting(), equalTo(0L));
    }

    /** Counts the connections to the server whose opening packet has no answer yet. */
    private long connecting() throws IOException {
        String remote = ":%04X 02 ".formatted(server.getLocalPort());
        long count = 0;
        for (String table : List.of("/proc/self/net/tcp", "/proc/self/net/tcp6")) {
            try (Stream<String> lines = Files.lines(Path.of(table))) {
                count += lines.filter(line -> line.contains(remote)).count();
            }
        }
        return count;
    }
}
