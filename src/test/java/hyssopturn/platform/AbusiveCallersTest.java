package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.Address;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Callers outside the limits do not end a router, nor make it use more memory or descriptors than
 * its machine has, and others are still served.
 */
@Timeout(120)
class AbusiveCallersTest {
    private static final String HOST = "127.0.0.1";
    private static final int OK = 200;
    private static final int CONNECTIONS = 150;
    private static final int MANY_CONNECTIONS = 400;
    private static final int RESETS = 3_000;
    private static final int RESETS_AT_ONCE = 50;
    private static final int ANSWER_BYTES = 200_000;
    private static final int MAX_TRIES = 60;
    private static final long RETRY_MILLIS = 500;
    private static final long MEGABYTE = 1L << 20;

    private static final String REQUEST_LINE = "POST /look/x HTTP/1.1\r\n";
    private static final String HOST_LINE = "Host: " + Configs.HOST + "\r\n";
    private static final String KEY_LINE = "X-Api-Key: " + Configs.KEY + "\r\n";
    private static final String HEAD = REQUEST_LINE + HOST_LINE + KEY_LINE;
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    /** Number of lines "a:" whose names, values and 4 bytes each are within 16,384 bytes. */
    private static final int SHORT_LINES = 3_200;

    private final LogStoreServer store = new LogStoreServer();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Buffer answer = Buffer.buffer(new byte[ANSWER_BYTES]);
    @TempDir private Path directory;
    private PlatformSettings settings;
    private RouterProcess router;
    private long mostResidentBytes;
    private int mostDescriptors;

    @BeforeEach
    void startRouter() throws IOException {
        store.write(
                "op",
                "config",
                Optional.of(
                        Configs.withLimits(
                                1,
                                "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                                        + "\"HeaderTimeoutMs\":10000,\"IdleTimeoutMs\":15000")));
        int port =
                vertx.createHttpServer()
                        .requestHandler(this::answerRequest)
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        store.write("servers", "e1", Optional.of(announcement(new Address(HOST, port))));
        settings = TestNodes.settings("n1", store.open());
        router = new RouterProcess(settings, directory, List.of());
        awaitOrdinaryAnswer();
    }

    private void answerRequest(HttpServerRequest request) {
        request.endHandler(v -> RelayHarness.signed(request).end(answer));
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

    @AfterEach
    void close() {
        router.close();
        vertx.close().await();
        store.close();
    }

    private void awaitOrdinaryAnswer() {
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

    private void observe() {
        mostResidentBytes = Math.max(mostResidentBytes, router.residentBytes());
        mostDescriptors = Math.max(mostDescriptors, router.descriptors());
    }

    private Crowd crowd() {
        return new Crowd(settings.front());
    }

    /** Sends what the crowd has to send, and checks the router while it is there and after. */
    private void check(Crowd crowd) throws IOException {
        try (crowd) {
            crowd.send(this::observe);
            observe();
        }
        awaitOrdinaryAnswer();
        checkReadiness();
        observe();
        assertThat(router.state(), router.alive(), is(true));
        assertThat(
                "memory", mostResidentBytes, lessThanOrEqualTo(RouterProcess.MAX_RESIDENT_BYTES));
        int bound = RouterProcess.DESCRIPTORS - RouterProcess.RESERVED_DESCRIPTORS;
        assertThat("descriptors", mostDescriptors, lessThanOrEqualTo(bound));
    }

    private void checkReadiness() throws IOException {
        try (KeptConnection operator = new KeptConnection(settings.readiness())) {
            operator.sendRaw("GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(operator.read().status(), equalTo(OK));
        }
    }

    private static String unfinishedRequest(String lines) {
        return HEAD + lines + "Content-Length: 10\r\n\r\n123456789";
    }

    private Crowd manyLines() throws IOException {
        return crowd().add(CONNECTIONS, unfinishedRequest("a:\r\n".repeat(SHORT_LINES)), "", 0);
    }

    @Test
    void requestsOfLegalSizeWithManyHeaderLines() throws IOException {
        check(manyLines());
    }

    @Test
    void requestsOfLegalSizeWithOddHeaderLines() throws IOException {
        String odd = "x-\u00e9 :\r\n y\r\nX: \t\r\n";
        check(crowd().add(CONNECTIONS, unfinishedRequest(odd.repeat(1_000)), "", 0));
    }

    @Test
    void headsOverTheLimit() throws IOException {
        check(
                crowd().add(CONNECTIONS / 2, HEAD + "X-Long: ", "x", 250_000)
                        .add(CONNECTIONS / 2, HEAD, "b:\r\n", 250_000));
    }

    @Test
    void requestLinesWithoutEnd() throws IOException {
        check(crowd().add(CONNECTIONS, "POST /look/", "x", MEGABYTE));
    }

    @Test
    void headsWithoutEnd() throws IOException {
        check(crowd().add(CONNECTIONS, HEAD, "a: b\r\n", MEGABYTE));
    }

    @Test
    void emptyLinesWithoutEndBeforeARequest() throws IOException {
        check(crowd().add(CONNECTIONS, "\r\n", "\r\n", MEGABYTE));
    }

    @Test
    void bodiesInOneByteChunksThatStopBeforeTheirEnd() throws IOException {
        check(crowd().add(CONNECTIONS, CHUNKED, "1\r\nx\r\n", MEGABYTE));
    }

    @Test
    void bodiesInLargeChunksThatStopBeforeTheirEnd() throws IOException {
        String chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
        check(crowd().add(CONNECTIONS, CHUNKED, chunk, MEGABYTE));
    }

    @Test
    void bodiesOfAnnouncedLengthThatStopBeforeTheirEnd() throws IOException {
        check(
                crowd().add(
                                CONNECTIONS,
                                HEAD + "Content-Length: " + MEGABYTE + "\r\n\r\n",
                                "x",
                                MEGABYTE));
    }

    @Test
    void pipelinedRequestsWhoseAnswersNobodyReads() throws IOException {
        String request = HEAD + "Content-Length: 0\r\n\r\n";
        check(crowd().add(CONNECTIONS, request, request, MEGABYTE / 4));
    }

    @Test
    void pipelinedRequestsThatAreRefused() throws IOException {
        String request = "GET /n HTTP/1.1\r\nHost: a\r\n\r\n";
        check(crowd().add(CONNECTIONS, request, request, MEGABYTE));
    }

    @Test
    void silentConnections() throws IOException {
        check(crowd().add(MANY_CONNECTIONS, "", "", 0));
    }

    @Test
    void connectionsThatBeginAHead() throws IOException {
        check(crowd().add(MANY_CONNECTIONS, "POST /l", "", 0));
    }

    @Test
    void chunkExtensionsWithoutEnd() throws IOException {
        check(crowd().add(CONNECTIONS, CHUNKED + "1;", "a=b;", MEGABYTE));
    }

    @Test
    void chunksWithLongExtensions() throws IOException {
        String chunk = "1;" + "e".repeat(60_000) + "\r\nx\r\n";
        check(crowd().add(CONNECTIONS, CHUNKED, chunk, MEGABYTE));
    }

    @Test
    void trailersWithoutEnd() throws IOException {
        check(crowd().add(CONNECTIONS, CHUNKED + "0\r\n", "t:\r\n", MEGABYTE));
    }

    @Test
    void connectionsOpenedAndReset() throws IOException {
        for (int i = 0; i < RESETS / RESETS_AT_ONCE; i++) {
            Crowd crowd = crowd().add(RESETS_AT_ONCE, "POST /look/x", "", 0);
            observe();
            crowd.close();
        }
        check(crowd());
    }

    @Test
    void allTogether() throws IOException {
        String request = HEAD + "Content-Length: 0\r\n\r\n";
        int part = CONNECTIONS / 5;
        check(
                manyLines()
                        .add(part, HEAD, "a:\r\n", MEGABYTE)
                        .add(part, "\r\n", "\r\n", MEGABYTE)
                        .add(part, CHUNKED, "1\r\nx\r\n", MEGABYTE)
                        .add(part, CHUNKED + "0\r\n", "t:\r\n", MEGABYTE)
                        .add(part, request, request, MEGABYTE / 4)
                        .add(CONNECTIONS, "", "", 0));
    }
}
