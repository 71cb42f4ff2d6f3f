package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;

import hyssopturn.model.Address;

import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Requests that no connection could be opened for. */
class OpeningErrorsTest {
    private static final int UNAVAILABLE = 503;

    /** A relay with one connection to each endpoint, and no queue for more. */
    private final RelayHarness harness =
            new RelayHarness(
                    true,
                    new HttpClientOptions(),
                    new PoolOptions().setHttp1MaxSize(1).setMaxWaitQueueSize(0));

    @AfterEach
    void close() {
        harness.close();
    }

    /** Guards against endpoints that count as failed for an error of the node itself. */
    @ParameterizedTest
    @ValueSource(strings = {"/book/x", "/once/x"})
    void ofTheNodeItselfLeaveEndpointsInUse(String path) throws IOException {
        CompletableFuture<HttpServerRequest> arrived = new CompletableFuture<>();
        harness.service("s", arrived::complete);
        harness.engine("e", arrived::complete);
        try (KeptConnection first = new KeptConnection(harness.front());
                KeptConnection second = new KeptConnection(harness.front())) {
            first.send(path);
            arrived.join();
            second.send(path);
            assertThat(second.read().status(), equalTo(UNAVAILABLE));
        }
        assertThat(harness.statesOf("s"), hasSize(0));
        assertThat(harness.statesOf("e"), hasSize(0));
    }

    @Test
    void ofTheEndpointShowThatItHasFailed() throws IOException {
        harness.announce("s", new Address("127.0.0.1", closedPort()), Optional.empty());
        try (KeptConnection caller = new KeptConnection(harness.front())) {
            caller.send("/book/x");
            assertThat(caller.read().status(), equalTo(UNAVAILABLE));
        }
        // its probes find the endpoint listening, which ends the suspicion
        assertThat(harness.statesOf("s"), hasItem("listed"));
    }

    /** Returns a port at which nothing listens. */
    private static int closedPort() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return server.getLocalPort();
        }
    }
}
