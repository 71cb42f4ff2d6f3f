package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.trace.TraceEvent;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Guards streams that lose their engine after they began, when they cannot be retried at once. */
class BegunStreamsTest {
    private static final int BEGUN = 2;
    private static final int ALL = 4;

    /** A wait that is shorter than that of callers. */
    private static final Duration WAIT = Duration.ofSeconds(1);

    /** How long callers of the route are expected to wait for an event. */
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    /** Deadline of a caller that waits for longer than expected. */
    private static final Duration DEADLINE = Duration.ofSeconds(4);

    private final RelayHarness harness = new RelayHarness();
    private final AtomicInteger resumptions = new AtomicInteger();

    @AfterEach
    void close() {
        double held = harness.heldTokens();
        harness.close();
        assertThat("tokens held after the last answer", held, equalTo(0.0));
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id < to; id++) {
            text.append("id: %d\ndata: t%d\n\n".formatted(id, id));
        }
        return text.toString();
    }

    /** Breaks off a new stream, and handles a resumed one as given. */
    private Handler<HttpServerRequest> breakOff(Handler<HttpServerRequest> resumed) {
        return request -> {
            if (request.getHeader("Last-Event-Id") == null) {
                RelayHarness.signed(request)
                        .setChunked(true)
                        .write(events(0, BEGUN))
                        .onComplete(v -> request.connection().close());
            } else {
                resumptions.incrementAndGet();
                resumed.handle(request);
            }
        };
    }

    private static void finish(HttpServerRequest request) {
        int next = Integer.parseInt(request.getHeader("Last-Event-Id")) + 1;
        RelayHarness.signed(request).setChunked(true).end(events(next, ALL));
    }

    private static void refuse(HttpServerRequest request) {
        RelayHarness.signed(request)
                .putHeader("Hyssopturn-Not-Executed", "1")
                .setStatusCode(503)
                .end();
    }

    private static void assertWhole(RelayHarness.Answer answer) {
        assertThat(answer.body(), equalTo(events(0, ALL)));
        assertThat(answer.complete(), is(true));
    }

    private static void assertBroken(RelayHarness.Answer answer) {
        assertThat(answer.body(), equalTo(events(0, BEGUN)));
        assertThat(answer.complete(), is(false));
    }

    @Nested
    class WhileTheRetryBudgetIsUsedUp {
        @Test
        void goOnWhenItComesBack() {
            harness.exhaustRetriesFor(WAIT);
            harness.engine("e1", breakOff(BegunStreamsTest::finish));
            harness.engine("e2", breakOff(BegunStreamsTest::finish));
            assertWhole(harness.call("/write/x", Map.of()));
            assertThat(harness.logged(TraceEvent.RetryDeferred.class), equalTo(1L));
            assertThat(harness.logged(TraceEvent.DeferralEnded.class), equalTo(1L));
        }

        @Test
        void goOnTogetherWhenItComesBack() {
            harness.exhaustRetriesFor(WAIT);
            harness.engine("e1", breakOff(BegunStreamsTest::finish));
            harness.engine("e2", breakOff(BegunStreamsTest::finish));
            harness.callTogether("/write/x", 20).forEach(BegunStreamsTest::assertWhole);
        }

        @Test
        void stayUntilTheirDeadlineWhenItComesBackTooLate() {
            harness.exhaustRetries();
            harness.engine("e1", breakOff(BegunStreamsTest::finish));
            harness.engine("e2", breakOff(BegunStreamsTest::finish));
            assertStaysUntilItsDeadline();
            assertThat(resumptions.get(), equalTo(0));
        }

        @Test
        void endAtOnceOnARouteThatMustRunAtMostOnce() {
            harness.exhaustRetriesFor(WAIT);
            harness.engine("e1", breakOff(BegunStreamsTest::finish));
            harness.engine("e2", breakOff(BegunStreamsTest::finish));
            assertBroken(harness.call("/once/x", Map.of()));
            assertThat(harness.requestIds(), hasSize(1));
        }

        @Test
        void endWithTheNodeAndAreSentNowhere() {
            harness.exhaustRetriesFor(WAIT);
            harness.engine("e1", breakOff(BegunStreamsTest::finish));
            var answer = CompletableFuture.supplyAsync(() -> harness.call("/write/x", Map.of()));
            while (harness.logged(TraceEvent.RetryDeferred.class) == 0 && !answer.isDone()) {
                Thread.onSpinWait();
            }
            assertThat("ends only with the node", answer.isDone(), is(false));
            harness.endRemaining();
            assertBroken(answer.join());
            harness.exhaustRetriesFor(Duration.ZERO);
            assertThat(harness.outcomes(), equalTo(List.of("broken")));
            assertThat(resumptions.get(), equalTo(0));
        }
    }

    @Nested
    class AfterAttemptsThatDoNotCount {
        /** Breaks off a new stream, and refuses the resumed one as often as given. */
        private Handler<HttpServerRequest> refuseOften(int refusals) {
            return breakOff(
                    r -> {
                        if (resumptions.get() <= refusals) {
                            refuse(r);
                        } else {
                            finish(r);
                        }
                    });
        }

        @Test
        void goOnAfterRefusalsOfFourEngines() {
            for (int i = 0; i < 6; i++) {
                harness.engine("e" + i, refuseOften(4));
            }
            assertWhole(harness.call("/write/x", Map.of()));
            assertThat(resumptions.get(), equalTo(5));
        }

        @Test
        void areNotEndedByRefusalsAndAreSentLessAndLessOften() {
            for (int i = 0; i < 12; i++) {
                harness.engine("e" + i, refuseOften(Integer.MAX_VALUE));
            }
            assertStaysUntilItsDeadline();
            assertThat(harness.requestIds().size(), lessThanOrEqualTo(12));
        }

        @Test
        void goOnAfterRefusalsOfManyEngines() {
            for (int i = 0; i < 8; i++) {
                harness.engine("e" + i, refuseOften(6));
            }
            assertWhole(harness.call("/write/x", Map.of()));
        }

        /** Sends two events, starts the next engine, leaves the list, and breaks off. */
        private void sendAndEnd(
                HttpServerRequest request, String id, int from, Runnable startNext) {
            HttpServerResponse response = RelayHarness.signed(request).setChunked(true);
            response.write(events(from, from + 1));
            harness.runLater(
                    () ->
                            response.write(events(from + 1, from + 2))
                                    .onComplete(v -> end(request, id, startNext)));
        }

        private void end(HttpServerRequest request, String id, Runnable startNext) {
            CompletableFuture.runAsync(startNext)
                    .thenRun(() -> harness.remove(id))
                    .thenRun(() -> request.connection().close());
        }

        @Test
        void goOnAtAThirdEngineWhenTwoHaveEnded() {
            Runnable third = () -> harness.engine("e3", BegunStreamsTest::finish);
            Runnable second = () -> harness.engine("e2", r -> sendAndEnd(r, "e2", 1, third));
            harness.engine("e1", r -> sendAndEnd(r, "e1", 0, second));
            assertWhole(harness.call("/write/x", Map.of()));
            assertThat(harness.requestIds(), hasSize(3));
        }
    }

    @Nested
    class WithoutAnotherChain {
        @Test
        void goOnWhenAnEngineAppears() {
            harness.engine(
                    "e1",
                    breakOff(
                            r -> {
                                refuse(r);
                                startLater();
                            }));
            assertWhole(harness.call("/write/x", Map.of()));
            assertThat(harness.logged(TraceEvent.RetryDeferred.class), equalTo(1L));
        }

        private void startLater() {
            harness.runLater(
                    () ->
                            CompletableFuture.runAsync(
                                    () -> harness.engine("e2", BegunStreamsTest::finish)));
        }

        @Test
        void goOnAtAnEngineThatHasRoomAgain() {
            harness.engine(
                    "e1",
                    breakOff(
                            r -> {
                                if (resumptions.get() == 1) {
                                    refuse(r);
                                } else {
                                    finish(r);
                                }
                            }));
            assertWhole(harness.call("/write/x", Map.of()));
        }

        @Test
        void stayUntilTheirDeadline() {
            harness.engine("e1", breakOff(BegunStreamsTest::refuse));
            assertStaysUntilItsDeadline();
        }

        @Test
        void stayUntilTheirCallersLeave() {
            harness.engine("e1", breakOff(BegunStreamsTest::refuse));
            harness.callUntil("/write/x", Map.of(), PATIENCE.plusMillis(500));
            while (harness.outcomes().isEmpty()) {
                Thread.onSpinWait();
            }
            assertThat(harness.outcomes(), equalTo(List.of("caller-left")));
        }

        @Test
        void goOnWhenAnEngineAppearsAfterCallersUsuallyLeave() {
            harness.engine("e1", breakOff(BegunStreamsTest::refuse));
            harness.runAfter(
                    PATIENCE.plusMillis(500),
                    () ->
                            CompletableFuture.runAsync(
                                    () -> harness.engine("e2", BegunStreamsTest::finish)));
            assertWhole(harness.call("/write/x", Map.of()));
        }
    }

    /** Checks that a stream which no engine continues ends at its deadline, and no sooner. */
    private void assertStaysUntilItsDeadline() {
        long begun = System.nanoTime();
        assertBroken(
                harness.call(
                        "/write/x",
                        Map.of("Hyssopturn-Deadline-Ms", String.valueOf(DEADLINE.toMillis()))));
        Duration lasted = Duration.ofNanos(System.nanoTime() - begun);
        assertThat(lasted, greaterThanOrEqualTo(DEADLINE.minusMillis(100)));
        assertThat(harness.outcomes(), equalTo(List.of("broken")));
    }
}
