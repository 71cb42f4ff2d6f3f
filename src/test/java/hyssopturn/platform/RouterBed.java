package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.Address;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A router process with its store and one endpoint, and what was seen of its memory. */
final class RouterBed implements AutoCloseable {
    /** Limits on callers, as members of a JSON object. */
    static final String LIMITS =
            "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                    + "\"HeaderTimeoutMs\":10000,\"IdleTimeoutMs\":15000";

    private static final String HOST = "127.0.0.1";
    private static final int OK = 200;
    private static final int MAX_TRIES = 60;
    private static final long RETRY_MILLIS = 500;

    private final LogStoreServer store = new LogStoreServer();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final PlatformSettings settings;
    private final RouterProcess router;
    private long mostBytes;
    private int mostDescriptors;
    private int mostSockets;

    /**
     * Starts a router that serves.
     *
     * @param directory directory for the settings file and the output
     * @param machine the router's machine
     * @param limits limits on callers, as members of a JSON object
     * @param endpoint answers requests as an endpoint
     */
    RouterBed(
            Path directory,
            RouterMachine machine,
            String limits,
            Consumer<HttpServerRequest> endpoint)
            throws IOException {
        int port =
                vertx.createHttpServer()
                        .requestHandler(endpoint::accept)
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        announce(limits, new Address(HOST, port));
        settings = TestNodes.settings("n1", store.open());
        router = new RouterProcess(settings, directory, List.of(), machine);
        awaitOrdinaryAnswer();
    }

    /** Starts a router that serves, with an endpoint at an address of its own. */
    RouterBed(Path directory, RouterMachine machine, String limits, Address endpoint)
            throws IOException {
        announce(limits, endpoint);
        settings = TestNodes.settings("n1", store.open());
        router = new RouterProcess(settings, directory, List.of(), machine);
        awaitOrdinaryAnswer();
    }

    private void announce(String limits, Address endpoint) {
        store.write("op", "config", Optional.of(Configs.withLimits(1, limits)));
        store.write("servers", "e1", Optional.of(announcement(endpoint)));
    }

    private static String announcement(Address address) {
        return new JsonObject()
                .put("Service", "records")
                .put("Address", address.toString())
                .put("Zone", "a")
                .put("Version", 1)
                .put("Slots", 1_000)
                .put("State", "ready")
                .put("born", 1)
                .put("Sequence", 1)
                .encode();
    }

    /** Returns connections that are not open yet. */
    Crowd crowd() {
        return new Crowd(settings.front());
    }

    Address front() {
        return settings.front();
    }

    /** Sends an ordinary request again and again, as callers do, until it is served. */
    void awaitOrdinaryAnswer() {
        int status = 0;
        for (int i = 0; i < MAX_TRIES && status != OK && router.alive(); i++) {
            status = ordinaryStatus();
            if (status != OK) {
                NodeGroup.pause(Duration.ofMillis(RETRY_MILLIS));
            }
        }
        assertThat(router.state(), status, equalTo(OK));
    }

    private int ordinaryStatus() {
        try (KeptConnection caller = new KeptConnection(settings.front())) {
            caller.send("/look/x");
            return caller.read().status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Looks at the memory and the descriptors of the process. */
    void observe() {
        long unread = SocketTable.unreadBytes(settings.front().port());
        mostBytes = Math.max(mostBytes, router.residentBytes() + unread);
        mostDescriptors = Math.max(mostDescriptors, router.descriptors());
        mostSockets = Math.max(mostSockets, router.sockets());
    }

    /** Returns the most memory that was seen, with bytes that arrived and were not read. */
    long mostBytes() {
        return mostBytes;
    }

    /** Returns the most descriptors that were seen. */
    int mostDescriptors() {
        return mostDescriptors;
    }

    /** Returns the most sockets and pipes that were seen. */
    int mostSockets() {
        return mostSockets;
    }

    /** Checks that the process lives and reports itself ready. */
    void checkAlive() throws IOException {
        assertThat(router.state(), router.alive(), is(true));
        try (KeptConnection operator = new KeptConnection(settings.readiness())) {
            operator.sendRaw("GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(operator.read().status(), equalTo(OK));
        }
    }

    @Override
    public void close() {
        router.close();
        vertx.close().await();
        store.close();
    }
}
