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
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

class ConnectProbeTest {
    private static final int FILLERS = 8;
    private static final int FILLER_MILLIS = 100;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final ConnectProbe probe = new ConnectProbe(vertx, Duration.ofMillis(200));
    private final List<Socket> fillers = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        vertx.close().await();
        for (Socket filler : fillers) {
            filler.close();
        }
    }

    private static ServerSocket server() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    private boolean listens(int port) {
        return probe.listens(new Address("127.0.0.1", port)).join();
    }

    @Test
    void aProcessThatListensIsAlive() throws IOException {
        try (ServerSocket server = server()) {
            assertThat(listens(server.getLocalPort()), is(true));
        }
    }

    @Test
    void aPortThatNobodyListensAtIsDead() throws IOException {
        int port;
        try (ServerSocket server = server()) {
            port = server.getLocalPort();
        }
        assertThat(listens(port), is(false));
    }

    @Test
    void aHostThatDoesNotAnswerIsDead() throws IOException {
        try (ServerSocket server = server()) {
            fill(server);
            assertThat(listens(server.getLocalPort()), is(false));
        }
    }

    /** Fills the queue of connections, so that further opening packets are dropped. */
    private void fill(ServerSocket server) throws IOException {
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
}
