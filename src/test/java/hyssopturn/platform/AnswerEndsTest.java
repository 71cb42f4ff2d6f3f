package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import hyssopturn.model.LayerRange;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.Map;
import java.util.Optional;

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
