package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.Address;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;

class ConnectProbeTest {
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final ConnectProbe probe = new ConnectProbe(vertx, Duration.ofMillis(200));

    @AfterEach
    void close() {
        vertx.close().await();
    }

    private static ServerSocket server() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    private boolean listens(int port) {
        return probe.listens(new Address("127.0.0.1", port)).join();
    }

    @Test
    void reportsAProcessThatListens() throws IOException {
        try (ServerSocket server = server()) {
            assertThat(listens(server.getLocalPort()), is(true));
        }
    }

    @Test
    void reportsNoProcessOnAClosedPort() throws IOException {
        int port;
        try (ServerSocket server = server()) {
            port = server.getLocalPort();
        }
        assertThat(listens(port), is(false));
    }

    @Test
    void reportsNoProcessOnAHostThatDoesNotAnswer() throws IOException {
        try (FullBacklogServer server = new FullBacklogServer()) {
            assertThat(listens(server.port()), is(false));
        }
    }
}
