package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.Address;
import hyssopturn.port.Liveness;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;

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

    private static Address address(int port) {
        return new Address("127.0.0.1", port);
    }

    private Liveness probe(int port) {
        return probe.probe(address(port), Optional.empty()).join();
    }

    private static int closedPort() throws IOException {
        try (ServerSocket server = server()) {
            return server.getLocalPort();
        }
    }

    @Test
    void reportsAProcessThatListens() throws IOException {
        try (ServerSocket server = server()) {
            assertThat(probe(server.getLocalPort()), is(Liveness.LISTENS));
        }
    }

    @Test
    void reportsNoProcessOnAClosedPort() throws IOException {
        assertThat(probe(closedPort()), is(Liveness.REFUSED));
    }

    @Test
    void reportsNoProcessOnAHostThatDoesNotAnswer() throws IOException {
        try (FullBacklogServer server = new FullBacklogServer()) {
            assertThat(probe(server.port()), is(Liveness.FAILED));
        }
    }

    @Nested
    class WithAReference {
        @Test
        void reportsAFailureIfOnlyTheReferenceAnswers() throws IOException {
            try (FullBacklogServer silent = new FullBacklogServer();
                    ServerSocket reference = server()) {
                assertThat(probe(silent.port(), reference.getLocalPort()), is(Liveness.FAILED));
            }
        }

        @Test
        void reportsAFailureIfTheReferenceRefuses() throws IOException {
            try (FullBacklogServer silent = new FullBacklogServer()) {
                assertThat(probe(silent.port(), closedPort()), is(Liveness.FAILED));
            }
        }

        @Test
        void reportsNothingIfTheReferenceIsSilentToo() throws IOException {
            try (FullBacklogServer silent = new FullBacklogServer();
                    FullBacklogServer reference = new FullBacklogServer()) {
                assertThat(probe(silent.port(), reference.port()), is(Liveness.UNKNOWN));
            }
        }

        private Liveness probe(int port, int reference) {
            return probe.probe(address(port), Optional.of(address(reference))).join();
        }
    }
}
