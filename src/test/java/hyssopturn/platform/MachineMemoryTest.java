package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A router with the options of the deploy file stays within the memory and the descriptors of its
 * machine, whatever callers send, and ordinary callers are served meanwhile. Bytes that have
 * arrived and were not read count toward the memory.
 */
@Timeout(180)
class MachineMemoryTest {
    private static final long MEGABYTE = 1L << 20;

    /** Memory of the machine, less than that of any deployment, so that a small crowd fills it. */
    private static final int MEMORY_MB = 224;

    private static final int DESCRIPTORS = 2_069;

    /** Sockets and pipes of the machine with few descriptors. */
    private static final int FEW_SOCKETS = 120;

    /** Connections that the machine with few descriptors allows. */
    private static final int FEW_CONNECTIONS = 50;

    private static final int OK = 200;
    private static final int CONNECTIONS = 200;
    private static final int MANY_CONNECTIONS = 1_200;
    private static final int SHORT_LINES = 3_200;
    private static final int ANSWER_BYTES = 200_000;
    private static final int LONG_BODY_BYTES = 4_000_000;

    /** Path of requests that the endpoint does not answer. */
    private static final String HELD = "/look/held";

    /** Path of requests that the endpoint answers with few bytes. */
    private static final String BRIEF = "/look/brief";

    private static final String PLAIN = "/look/x";

    private final Buffer answer = Buffer.buffer(new byte[ANSWER_BYTES]);
    @TempDir private Path directory;
    private RouterBed bed;

    private void startRouter(int memoryMb, int descriptors) throws IOException {
        RouterMachine machine = RouterMachine.deployed(memoryMb, descriptors);
        bed = new RouterBed(directory, machine, RouterBed.LIMITS, this::answerRequest);
    }

    private void answerRequest(HttpServerRequest request) {
        switch (request.path()) {
            case HELD -> {}
            case BRIEF -> request.endHandler(v -> RelayHarness.signed(request).end("brief"));
            default -> request.endHandler(v -> RelayHarness.signed(request).end(answer));
        }
    }

    @AfterEach
    void close() {
        bed.close();
    }

    private static String head(String path) {
        return "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n"
                .formatted(path, Configs.HOST, Configs.KEY);
    }

    private static String request(String path, int bodyBytes) {
        return head(path) + "Content-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes);
    }

    private Crowd manyLines(Crowd crowd, int connections) throws IOException {
        String request = head(PLAIN) + "a:\r\n".repeat(SHORT_LINES) + "Content-Length: 9\r\n\r\n";
        return crowd.add(connections, request, "", 0);
    }

    private Crowd smallChunks(Crowd crowd, int connections) throws IOException {
        String opening = head(PLAIN) + "Transfer-Encoding: chunked\r\n\r\n";
        return crowd.add(connections, opening, "1\r\nx\r\n", MEGABYTE);
    }

    private Crowd unfinishedBodies(Crowd crowd, int connections) throws IOException {
        String opening = head(PLAIN) + "Content-Length: " + MEGABYTE + "\r\n\r\n";
        return crowd.add(connections, opening, "x", MEGABYTE);
    }

    private Crowd unreadAnswers(Crowd crowd, int connections) throws IOException {
        String request = request(PLAIN, 0);
        return crowd.add(connections, request, request, MEGABYTE / 4);
    }

    /** Sends what the crowd has to send, and checks the router while it is there and after. */
    private void check(Crowd crowd) throws IOException {
        try (crowd) {
            crowd.send(bed::observe);
            bed.observe();
            bed.awaitOrdinaryAnswer();
            bed.observe();
        }
        bed.awaitOrdinaryAnswer();
        bed.checkAlive();
        bed.observe();
    }

    private void checkMemory(Crowd crowd) throws IOException {
        check(crowd);
        assertThat("memory", bed.mostBytes(), lessThanOrEqualTo(MEMORY_MB * MEGABYTE));
    }

    @Test
    void longRequestsBehindAnAnswerThatIsAwaited() throws IOException {
        startRouter(MEMORY_MB, DESCRIPTORS);
        String opening = request(BRIEF, LONG_BODY_BYTES) + request(HELD, 0);
        checkMemory(bed.crowd().add(CONNECTIONS, opening, "x", 3L * LONG_BODY_BYTES));
    }

    @Test
    void bodiesInOneByteChunks() throws IOException {
        startRouter(MEMORY_MB, DESCRIPTORS);
        checkMemory(smallChunks(bed.crowd(), MANY_CONNECTIONS));
    }

    @Test
    void bodiesOfAnnouncedLengthThatStopBeforeTheirEnd() throws IOException {
        startRouter(MEMORY_MB, DESCRIPTORS);
        checkMemory(unfinishedBodies(bed.crowd(), MANY_CONNECTIONS));
    }

    @Test
    void headsOfManyLinesBesideUnreadAnswers() throws IOException {
        startRouter(MEMORY_MB, DESCRIPTORS);
        int part = MANY_CONNECTIONS / 2;
        checkMemory(unreadAnswers(manyLines(bed.crowd(), part), part));
    }

    @Test
    void allTogether() throws IOException {
        startRouter(MEMORY_MB, DESCRIPTORS);
        int part = MANY_CONNECTIONS / 4;
        Crowd crowd = unfinishedBodies(manyLines(bed.crowd(), part), part);
        checkMemory(unreadAnswers(smallChunks(crowd, part), part));
    }

    @Test
    void requestsWhoseBodiesAreIncompleteLeaveDescriptorsToOthers() throws IOException {
        startRouter(MEMORY_MB, RouterMachine.FILE_DESCRIPTORS + FEW_SOCKETS);
        List<KeptConnection> callers = new ArrayList<>();
        for (int i = 0; i < FEW_CONNECTIONS; i++) {
            KeptConnection caller = new KeptConnection(bed.front());
            callers.add(caller);
            caller.sendRaw(head(PLAIN) + "Content-Length: 2\r\n\r\nx");
        }
        bed.awaitOrdinaryAnswer();
        for (KeptConnection caller : callers) {
            caller.sendRaw("x");
            assertThat(caller.read().status(), equalTo(OK));
            caller.close();
        }
    }

    @Test
    void requestsThatAreNotAnsweredUseNoDescriptorsOfFiles() throws IOException {
        startRouter(MEMORY_MB, RouterMachine.FILE_DESCRIPTORS + FEW_SOCKETS);
        check(bed.crowd().add(2 * FEW_SOCKETS, request(HELD, 0), "", 0));
        assertThat("sockets and pipes", bed.mostSockets(), lessThanOrEqualTo(FEW_SOCKETS));
    }
}
