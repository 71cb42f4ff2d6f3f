package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import hyssopturn.model.LayerRange;

import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Guards against an answer that reaches its caller as complete though its connection was reset, and
 * against one that is lost though it was complete.
 */
class TornAnswersTest {
    private static final Optional<LayerRange> ALL = Optional.of(new LayerRange(0, 80));
    private static final String HEAD = "HTTP/1.1 200 OK\r\nHyssopturn-Server-Seal: s\r\n";
    private static final String FIRST = "id: 0\ndata: a\n\n";
    private static final String SECOND = "id: 1\ndata: b\n\n";
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;

    /** Size of a body that an endpoint has not read when it answers, in bytes. */
    private static final int LONG_BODY_BYTES = 2_000_000;

    /** Size of the relay's send buffers, so that most of a long body waits in the relay. */
    private static final int SEND_BUFFER_BYTES = 16_384;

    private final RelayHarness harness =
            new RelayHarness(
                    true,
                    new HttpClientOptions().setSendBufferSize(SEND_BUFFER_BYTES),
                    new PoolOptions());
    private BreakingEndpoint plain;
    private BreakingEndpoint engine;
    private KeptConnection caller;

    /** How an answer shows where it ends. */
    private enum Framing {
        LENGTH(HEAD + "Content-Length: 30\r\n\r\n", FIRST, SECOND, ""),
        CHUNKS(
                HEAD + "Transfer-Encoding: chunked\r\n\r\n",
                "f\r\n" + FIRST + "\r\n",
                "f\r\n" + SECOND + "\r\n",
                "0\r\n\r\n"),
        UNTIL_CLOSE(HEAD + "\r\n", FIRST, SECOND, ""),
        HTTP_1_0("HTTP/1.0 200 OK\r\nHyssopturn-Server-Seal: s\r\n\r\n", FIRST, SECOND, "");

        private final String head;
        private final String first;
        private final String second;
        private final String last;

        Framing(String head, String first, String second, String last) {
            this.head = head;
            this.first = first;
            this.second = second;
            this.last = last;
        }

        /** Returns the bytes up to a point of the answer. */
        String upTo(Point point) {
            return switch (point) {
                case IN_HEAD -> HEAD;
                case AFTER_HEAD -> head;
                case IN_FIRST_PART -> head + first.substring(0, first.length() - 4);
                case BETWEEN_PARTS -> head + first;
                case BEFORE_LAST_CHUNK -> head + first + second;
                case AFTER_END -> head + first + second + last;
            };
        }

        /** Returns whether the end shows in the bytes of the answer. */
        boolean proved() {
            return this == LENGTH || this == CHUNKS;
        }
    }

    /** The last byte that the endpoint sends. */
    private enum Point {
        IN_HEAD,
        AFTER_HEAD,
        IN_FIRST_PART,
        BETWEEN_PARTS,
        BEFORE_LAST_CHUNK,
        AFTER_END
    }

    private record Row(
            String path, Framing framing, Point point, BreakingEndpoint.End end, int bodyBytes) {
        boolean whole() {
            boolean all = framing.upTo(point).equals(framing.upTo(Point.AFTER_END));
            return all && (framing.proved() || !end.reset());
        }

        /** Returns whether an end in order cannot be told from the end of the answer. */
        boolean undecided() {
            return !framing.proved() && !end.reset() && !whole();
        }
    }

    static Stream<Arguments> rows() {
        List<Row> rows = new ArrayList<>();
        for (String path : List.of("/look/x", "/book/x", "/write/x", "/once/x")) {
            for (Framing framing : Framing.values()) {
                for (Point point : Point.values()) {
                    for (BreakingEndpoint.End end : BreakingEndpoint.End.values()) {
                        rows.add(new Row(path, framing, point, end, 0));
                        rows.add(new Row(path, framing, point, end, LONG_BODY_BYTES));
                    }
                }
            }
        }
        return rows.stream().filter(row -> !row.undecided()).map(Arguments::of);
    }

    @BeforeEach
    void start() throws IOException {
        plain = new BreakingEndpoint();
        engine = new BreakingEndpoint();
        harness.announce("p", plain.address(), Optional.empty());
        harness.announce("e", engine.address(), ALL);
        caller = new KeptConnection(harness.front());
    }

    @AfterEach
    void close() throws IOException {
        caller.close();
        harness.close();
        plain.close();
        engine.close();
    }

    @ParameterizedTest
    @MethodSource("rows")
    void endAsTheirFramingAndTheirConnectionSay(Row row) throws IOException {
        for (BreakingEndpoint endpoint : List.of(plain, engine)) {
            endpoint.answer(row.framing().upTo(row.point()), row.end());
        }
        caller.sendRaw(caller.request("POST", row.path(), "", "x".repeat(row.bodyBytes())));
        assertThat(successBytes(), equalTo(row.whole() ? FIRST.length() + SECOND.length() : -1));
    }

    /** Returns the size of a complete and successful answer, -1 if there is none. */
    private int successBytes() {
        try {
            KeptConnection.Answer answer = caller.read();
            return answer.status() == OK ? answer.bodyBytes() : -1;
        } catch (IOException e) {
            return -1;
        }
    }

    /** Sends a long request, of which the endpoint has not read the body when it answers. */
    private void sendLong(String method, String path) throws IOException {
        caller.sendRaw(caller.request(method, path, "", "x".repeat(LONG_BODY_BYTES)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified", "200 OK"})
    void withoutABodyAreWholeAtTheirHead(String status) throws IOException {
        String answer = "HTTP/1.1 " + status + "\r\nHyssopturn-Server-Seal: s\r\n\r\n";
        plain.answer(answer, BreakingEndpoint.End.RESET);
        sendLong(status.startsWith("200") ? "HEAD" : "POST", "/look/x");
        assertThat(
                caller.readWithoutBody().status(),
                equalTo(Integer.parseInt(status.substring(0, 3))));
    }

    @ParameterizedTest
    @EnumSource(
            value = Framing.class,
            names = {"LENGTH", "CHUNKS"})
    void areWholeWithBytesAfterTheirEnd(Framing framing) throws IOException {
        for (String path : List.of("/book/x", "/once/x")) {
            for (BreakingEndpoint endpoint : List.of(plain, engine)) {
                endpoint.answer(framing.upTo(Point.AFTER_END) + "more", BreakingEndpoint.End.RESET);
            }
            sendLong("POST", path);
            assertThat(path, successBytes(), equalTo(FIRST.length() + SECOND.length()));
        }
    }

    /** Guards against bytes that have arrived and are dropped with the connection. */
    @Nested
    class WhileReadingIsPaused {
        /** Number of events in a read after which reading is paused for some tenths of a second. */
        private static final int MANY = 2_000;

        private static final int ALL_EVENTS = MANY + 10;

        /** Makes the pause longer than the endpoint takes to go on, also beside load. */
        private static final int CLOCK_DIVISOR = 5;

        private static String event(int id) {
            return "id: " + id + "\ndata: a\n\n";
        }

        private static String events(int from, int to) {
            return IntStream.range(from, to)
                    .mapToObj(WhileReadingIsPaused::event)
                    .collect(Collectors.joining());
        }

        private static String chunks(int from, int to) {
            return IntStream.range(from, to)
                    .mapToObj(WhileReadingIsPaused::event)
                    .map(e -> Integer.toHexString(e.length()) + "\r\n" + e + "\r\n")
                    .collect(Collectors.joining());
        }

        /** Sends a request of which the last part and the reset come while nothing is read. */
        private int successBytesOf(String path, List<String> parts) throws IOException {
            harness.slowClock(CLOCK_DIVISOR);
            plain.answer(parts, BreakingEndpoint.End.RESET);
            engine.answer(parts, BreakingEndpoint.End.RESET);
            sendLong("POST", path);
            return successBytes();
        }

        @ParameterizedTest
        @ValueSource(strings = {"/book/x", "/once/x"})
        void areWholeAfterTheirLastChunkAndAReset(String path) throws IOException {
            List<String> parts =
                    List.of(
                            HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunks(0, MANY),
                            chunks(MANY, ALL_EVENTS) + "0\r\n\r\n");
            assertThat(successBytesOf(path, parts), equalTo(events(0, ALL_EVENTS).length()));
            assertThat(harness.writeFailures(), equalTo(1));
        }

        @ParameterizedTest
        @ValueSource(strings = {"/book/x", "/once/x"})
        void areTornWithoutALengthAfterAReset(String path) throws IOException {
            List<String> parts = List.of(HEAD + "\r\n" + events(0, MANY), events(MANY, ALL_EVENTS));
            assertThat(successBytesOf(path, parts), equalTo(-1));
            assertThat(harness.writeFailures(), equalTo(1));
        }
    }

    /** Guards against a request that ends though another endpoint could answer it. */
    @Nested
    class AtOneOfTwoEndpoints {
        private static final int REPEATS = 4;

        @Test
        void areAnsweredByTheOtherOneIfRepeatable() throws IOException {
            harness.service("q", r -> RelayHarness.signed(r).end("found"));
            plain.answer(Framing.UNTIL_CLOSE.upTo(Point.BETWEEN_PARTS), BreakingEndpoint.End.RESET);
            for (int i = 0; i < REPEATS; i++) {
                sendLong("POST", "/look/x");
                assertThat(caller.read().status(), equalTo(OK));
            }
            assertThat(plain.heads(), not(hasSize(0)));
        }

        @Test
        void goOnAfterTheLastEventIfResumable() throws IOException {
            harness.engine(
                    "f",
                    r -> {
                        boolean resumed = "0".equals(r.getHeader("Last-Event-Id"));
                        RelayHarness.signed(r).end(resumed ? SECOND : FIRST + SECOND);
                    });
            engine.answer(
                    Framing.UNTIL_CLOSE.upTo(Point.BETWEEN_PARTS), BreakingEndpoint.End.RESET);
            for (int i = 0; i < REPEATS; i++) {
                sendLong("POST", "/write/x");
                assertThat(successBytes(), equalTo(FIRST.length() + SECOND.length()));
            }
            assertThat(engine.heads(), not(hasSize(0)));
        }

        @Test
        void endInNoSuccessIfTheyMayRunOnce() throws IOException {
            plain.answer(Framing.UNTIL_CLOSE.upTo(Point.BETWEEN_PARTS), BreakingEndpoint.End.RESET);
            sendLong("POST", "/book/x");
            assertThat(caller.read().status(), equalTo(BAD_GATEWAY));
            assertThat(plain.heads(), hasSize(1));
        }
    }
}
