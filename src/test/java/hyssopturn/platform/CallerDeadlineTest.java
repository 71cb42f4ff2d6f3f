package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import hyssopturn.platform.RelayHarness.Answer;

import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Requests whose callers leave at their own deadline, which comes before the route's timeout. The
 * relay's clock runs slowly, so that the time between its answer and the deadline is long.
 */
class CallerDeadlineTest {
    private static final int CLOCK_DIVISOR = 20;
    private static final long DEADLINE_MILLIS = 100;
    private static final Duration LEAVES = Duration.ofMillis(DEADLINE_MILLIS * CLOCK_DIVISOR);

    /** Time at which an engine ends its answer: later than other answers, before the deadline. */
    private static final Duration LAST_EVENT = LEAVES.minus(LEAVES.dividedBy(40));

    private static final Map<String, String> DEADLINE =
            Map.of("Hyssopturn-Deadline-Ms", String.valueOf(DEADLINE_MILLIS));

    private final RelayHarness harness = new RelayHarness();

    @BeforeEach
    void slowDown() {
        harness.slowClock(CLOCK_DIVISOR);
    }

    @AfterEach
    void close() {
        harness.close();
    }

    private Answer call(String path) {
        return harness.callUntil(path, DEADLINE, LEAVES).orElseThrow();
    }

    private static void stayMute(HttpServerRequest request) {
        // the connection stays open without an answer
    }

    private static void answer(HttpServerRequest request) {
        RelayHarness.signed(request).end("found");
    }

    @Nested
    class BeforeTheAnswerHasBegun {
        @Test
        void aPlainRequestAtASilentEndpointIsAnswered() {
            harness.service("x", CallerDeadlineTest::stayMute);
            harness.service("y", CallerDeadlineTest::answer);
            assertThat(call("/book/x").status(), equalTo(504));
            assertThat(harness.outcomes(), equalTo(List.of("in-doubt")));
            assertThat(harness.requestIds(), hasSize(1));
        }

        /** The route's target is above the deadline, so the target alone leaves no time. */
        @Test
        void aRepeatableRequestAtASilentEndpointIsServedByAnother() {
            harness.service("x", CallerDeadlineTest::stayMute);
            harness.service("y", CallerDeadlineTest::answer);
            assertThat(call("/look/x").status(), equalTo(200));
            assertThat(harness.requestIds(), hasSize(2));
        }

        @Tag("known-red")
        @Test
        void aStreamOfASilentEngineIsAnswered() {
            harness.engine("e", CallerDeadlineTest::stayMute);
            assertThat(call("/once/x").status(), equalTo(504));
            assertThat(harness.outcomes(), equalTo(List.of("in-doubt")));
        }
    }

    @Nested
    class AfterTheAnswerHasBegun {
        private void endLate(HttpServerRequest request) {
            var response = RelayHarness.signed(request).setChunked(true);
            response.write("id: 0\ndata: first\n\n");
            harness.runAfter(LAST_EVENT, () -> response.end("id: 1\ndata: last\n\n"));
        }

        @Tag("known-red")
        @Test
        void aStreamMayEndUntilTheDeadline() {
            harness.engine("e", this::endLate);
            Answer answer = call("/once/x");
            assertThat(answer.complete(), is(true));
            assertThat(answer.body(), containsString("last"));
        }
    }
}
