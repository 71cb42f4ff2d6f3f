package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.model.LayerRange;
import hyssopturn.relay.AnswerMemory;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Ends of endpoints' answers, which show whether the answers are whole. */
class AnswerEndsTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: r1\r\nHyssopturn-Server-Seal: s\r\n";
    private static final String EVENTS = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;

    private final RelayHarness harness = new RelayHarness();
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    @AfterEach
    void close() {
        harness.close();
        vertx.close().await();
    }

    private void startEndpoint(String answer, RawServer.End end, Optional<LayerRange> layers) {
        harness.announce("a", new RawServer(vertx, answer, end).address(), layers);
    }

    /**
     * Guards against an answer that ends within its head, or within the frame of its body, and
     * reaches the caller as a success.
     */
    @Nested
    class AtAnyByteBeforeTheEnd {
        private static final Optional<LayerRange> ALL = Optional.of(new LayerRange(0, 80));
        private static final String SIGNED = "HTTP/1.1 200 OK\r\nHyssopturn-Server-Seal: s\r\n";
        private static final String CHUNKED =
                SIGNED + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + EVENTS + "\r\n0\r\n\r\n";
        private static final String WITH_LENGTH = SIGNED + "Content-Length: 30\r\n\r\n" + EVENTS;
        private static final String WITHOUT_LENGTH = SIGNED + "\r\n";

        @ParameterizedTest
        @CsvSource({"/book/a, false", "/once/a, true", "/write/a, true"})
        void areNoSuccess(String path, boolean engine) {
            RawServer server = new RawServer(vertx, "", RawServer.End.CLOSED);
            harness.announce("a", server.address(), engine ? ALL : Optional.empty());
            for (String whole : List.of(CHUNKED, WITH_LENGTH, WITHOUT_LENGTH)) {
                for (int bytes = 0; bytes < whole.length(); bytes++) {
                    server.answer(whole.substring(0, bytes));
                    RelayHarness.Answer answer = harness.call(path, Map.of());
                    assertThat(whole.substring(0, bytes), success(answer), equalTo(false));
                }
                server.answer(whole.equals(WITHOUT_LENGTH) ? whole + EVENTS : whole);
                assertThat(whole, success(harness.call(path, Map.of())), equalTo(true));
            }
        }

        @Test
        void ofAReportFailIt() {
            String whole = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"Stalled\":[]}";
            RawServer server = new RawServer(vertx, "", RawServer.End.CLOSED);
            HttpEngineControl control =
                    EngineControls.of(
                            new HttpCalls(
                                    vertx.createHttpClient()::request,
                                    new VirtualClock(0),
                                    new AnswerMemory(Long.MAX_VALUE),
                                    new SimpleMeterRegistry(),
                                    "engine"));
            for (int bytes = 0; bytes < whole.length(); bytes++) {
                server.answer(whole.substring(0, bytes));
                CompletableFuture<?> report = control.stalled(server.address());
                assertThrows(CompletionException.class, report::join);
            }
            server.answer(whole);
            assertThat(control.stalled(server.address()).join(), equalTo(Map.of()));
        }

        private static boolean success(RelayHarness.Answer answer) {
            return answer.status() == OK && answer.complete();
        }
    }

    @Nested
    class OfAPlainEndpoint {
        private RelayHarness.Answer call(String answer, RawServer.End end) {
            startEndpoint(answer, end, Optional.empty());
            return harness.call("/book/a", Map.of());
        }

        @Test
        void answerIsPassedOnWholeWhenItsConnectionEnds() {
            RelayHarness.Answer answer = call(HEAD + "\r\nfound", RawServer.End.CLOSED);
            assertThat(answer.status(), equalTo(OK));
            assertThat(answer.body(), equalTo("found"));
        }

        @Test
        void answerWhoseConnectionIsResetIsBroken() {
            RelayHarness.Answer answer = call(HEAD + "\r\nfou", RawServer.End.RESET);
            assertThat(answer.status(), equalTo(BAD_GATEWAY));
        }

        @Test
        void answerShorterThanItsLengthIsBroken() {
            RelayHarness.Answer answer =
                    call(HEAD + "Content-Length: 5\r\n\r\nfou", RawServer.End.CLOSED);
            assertThat(answer.status(), equalTo(BAD_GATEWAY));
        }

        @Test
        void interimAnswersAreSkipped() {
            RelayHarness.Answer answer =
                    call(
                            "HTTP/1.1 100 Continue\r\n\r\n"
                                    + "HTTP/1.1 103 Early Hints\r\n"
                                    + "Link: x\r\n\r\n"
                                    + HEAD
                                    + "Content-Length: 5\r\n\r\nfound",
                            RawServer.End.CLOSED);
            assertThat(answer.status(), equalTo(OK));
            assertThat(answer.body(), equalTo("found"));
        }
    }

    @Nested
    class OfAnEngine {
        private RelayHarness.Answer call(String body, RawServer.End end) {
            startEndpoint(HEAD + "\r\n" + body, end, Optional.of(new LayerRange(0, 80)));
            return harness.call("/write/a", Map.of());
        }

        @Test
        void streamIsPassedOnWholeWhenItsConnectionEnds() {
            RelayHarness.Answer answer = call(EVENTS, RawServer.End.CLOSED);
            assertThat(answer.body(), equalTo(EVENTS));
            assertThat(answer.complete(), equalTo(true));
        }

        @Test
        void streamThatEndsInsideAnEventIsBroken() {
            RelayHarness.Answer answer = call(EVENTS + "id: 2\nda", RawServer.End.CLOSED);
            assertThat(answer.complete(), equalTo(false));
        }

        @Test
        void streamThatIsResetBetweenEventsIsBroken() {
            RelayHarness.Answer answer = call(EVENTS, RawServer.End.RESET);
            assertThat(answer.complete(), equalTo(false));
        }

        @Test
        void streamThatIsResetInsideItsFirstEventIsNoSuccess() {
            RelayHarness.Answer answer = call("id: 0\nda", RawServer.End.RESET);
            assertThat(answer.status(), not(equalTo(OK)));
        }
    }
}
