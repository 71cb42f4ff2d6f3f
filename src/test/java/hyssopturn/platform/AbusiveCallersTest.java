package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Callers outside the limits do not end a router, nor make it use more memory or descriptors than
 * its machine has, and others are still served.
 */
@Timeout(120)
class AbusiveCallersTest {
    private static final int CONNECTIONS = 150;
    private static final int MANY_CONNECTIONS = 400;
    private static final int RESETS = 3_000;
    private static final int RESETS_AT_ONCE = 50;
    private static final int ANSWER_BYTES = 200_000;
    private static final long MEGABYTE = 1L << 20;

    private static final String REQUEST_LINE = "POST /look/x HTTP/1.1\r\n";
    private static final String HOST_LINE = "Host: " + Configs.HOST + "\r\n";
    private static final String KEY_LINE = "X-Api-Key: " + Configs.KEY + "\r\n";
    private static final String HEAD = REQUEST_LINE + HOST_LINE + KEY_LINE;
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    /** Number of lines "a:" whose names, values and 4 bytes each are within 16,384 bytes. */
    private static final int SHORT_LINES = 3_200;

    private final Buffer answer = Buffer.buffer(new byte[ANSWER_BYTES]);
    @TempDir private Path directory;
    private RouterBed bed;

    @BeforeEach
    void startRouter() throws IOException {
        bed =
                new RouterBed(
                        directory,
                        RouterProcess.SMALL_MACHINE,
                        RouterBed.LIMITS,
                        this::answerRequest);
    }

    private void answerRequest(HttpServerRequest request) {
        request.endHandler(v -> RelayHarness.signed(request).end(answer));
    }

    @AfterEach
    void close() {
        bed.close();
    }

    private Crowd crowd() {
        return bed.crowd();
    }

    /** Sends what the crowd has to send, and checks the router while it is there and after. */
    private void check(Crowd crowd) throws IOException {
        try (crowd) {
            crowd.send(bed::observe);
            bed.observe();
        }
        bed.awaitOrdinaryAnswer();
        bed.checkAlive();
        bed.observe();
        assertThat("memory", bed.mostBytes(), lessThanOrEqualTo(RouterProcess.MAX_RESIDENT_BYTES));
        int bound = RouterProcess.DESCRIPTORS - RouterProcess.RESERVED_DESCRIPTORS;
        assertThat("descriptors", bed.mostDescriptors(), lessThanOrEqualTo(bound));
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
    @Tag("known-red")
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
            bed.observe();
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
