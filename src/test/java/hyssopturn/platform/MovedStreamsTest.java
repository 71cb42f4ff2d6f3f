package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Guards streams whose engine is silent for a while and goes on, when another one is tried. */
class MovedStreamsTest {
    private static final int ALL = 4;
    private static final Duration SILENCE = Duration.ofMillis(1_500);

    private final RelayHarness harness = new RelayHarness();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger moves = new AtomicInteger();

    @AfterEach
    void close() {
        double held = harness.heldTokens();
        long bytes = harness.heldAnswerBytes();
        harness.close();
        assertThat("tokens held after the last answer", held, equalTo(0.0));
        assertThat("bytes held after the last answer", bytes, equalTo(0L));
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id < to; id++) {
            text.append("id: %d\ndata: t%d\n\n".formatted(id, id));
        }
        return text.toString();
    }

    private static boolean control(HttpServerRequest request) {
        return request.path().startsWith("/v1/");
    }

    private static boolean resumed(HttpServerRequest request) {
        return request.getHeader("Last-Event-Id") != null;
    }

    /** Sends some events of a new stream, is silent, and sends the others on that connection. */
    private Handler<HttpServerRequest> silentFor(Duration silence, int eventsBefore) {
        return request -> {
            if (control(request)) {
                return;
            }
            runs.incrementAndGet();
            var response = RelayHarness.signed(request).setChunked(true);
            if (eventsBefore > 0) {
                response.write(events(0, eventsBefore));
            }
            harness.runAfter(
                    silence,
                    () -> {
                        if (!response.closed()) {
                            response.end(events(eventsBefore, ALL));
                        }
                    });
        };
    }

    /** Counts the requests that are not for control, and handles them as given. */
    private Handler<HttpServerRequest> other(Handler<HttpServerRequest> handler) {
        return request -> {
            if (!control(request)) {
                moves.incrementAndGet();
                handler.handle(request);
            }
        };
    }

    private static void refuse(HttpServerRequest request) {
        RelayHarness.signed(request)
                .putHeader("Hyssopturn-Not-Executed", "1")
                .setStatusCode(503)
                .end();
    }

    private static void finish(HttpServerRequest request) {
        int next = resumed(request) ? Integer.parseInt(request.getHeader("Last-Event-Id")) + 1 : 0;
        RelayHarness.signed(request).setChunked(true).end(events(next, ALL));
    }

    private void exhaustRetriesThenRefuse(HttpServerRequest request) {
        CompletableFuture.runAsync(harness::exhaustRetries).thenRun(() -> refuse(request));
    }

    private static void assertWhole(RelayHarness.Answer answer) {
        assertThat(answer.status(), equalTo(200));
        assertThat(answer.body(), equalTo(events(0, ALL)));
        assertThat(answer.complete(), is(true));
    }

    /** Calls an engine that falls silent, and starts another one once it has the request. */
    private RelayHarness.Answer call(Handler<HttpServerRequest> silent, Runnable startOther) {
        harness.engine("e1", silent);
        var answer = CompletableFuture.supplyAsync(() -> harness.call("/write/x", Map.of()));
        while (runs.get() == 0) {
            Thread.onSpinWait();
        }
        startOther.run();
        return answer.join();
    }

    private void assertFinishedBySilentEngine(int eventsBefore, Runnable startOther) {
        assertWhole(call(silentFor(SILENCE, eventsBefore), startOther));
        assertThat("requests sent to the silent engine", runs.get(), equalTo(1));
    }

    @Nested
    class AreFinishedByTheSilentEngine {
        @Test
        void whenTheOtherRefusesAndTheRetryBudgetIsUsedUp() {
            assertFinishedBySilentEngine(
                    1,
                    () ->
                            harness.engine(
                                    "e2", other(MovedStreamsTest.this::exhaustRetriesThenRefuse)));
            assertThat(moves.get(), equalTo(1));
        }

        @Test
        void whenTheOtherRefusesBeforeTheFirstEvent() {
            assertFinishedBySilentEngine(
                    0,
                    () ->
                            harness.engine(
                                    "e2", other(MovedStreamsTest.this::exhaustRetriesThenRefuse)));
        }

        @Test
        void whenTheOtherClosesEachConnection() {
            assertFinishedBySilentEngine(
                    1, () -> harness.engine("e2", other(r -> r.connection().close())));
        }

        @Test
        void whenTheOtherAcceptsNoConnections() {
            Address closed = new Address("127.0.0.1", 1);
            assertFinishedBySilentEngine(
                    1, () -> harness.announce("e2", closed, Optional.of(new LayerRange(0, 80))));
        }

        @Test
        void whenTheOtherIsSilentForLonger() {
            assertFinishedBySilentEngine(1, () -> harness.engine("e2", other(r -> {})));
        }

        @Test
        void whenTheOtherSendsNoEventNumbers() {
            assertFinishedBySilentEngine(
                    1,
                    () ->
                            harness.engine(
                                    "e2",
                                    other(
                                            r ->
                                                    RelayHarness.signed(r)
                                                            .setChunked(true)
                                                            .write("data: t1\n\n"))));
        }

        @Test
        void whenTheOtherSendsOnlyComments() {
            assertFinishedBySilentEngine(
                    1,
                    () ->
                            harness.engine(
                                    "e2",
                                    other(
                                            r ->
                                                    RelayHarness.signed(r)
                                                            .setChunked(true)
                                                            .write(": busy\n\n"))));
        }
    }

    @Nested
    class LeaveAnEngineThatStaysSilent {
        private final AtomicInteger refusals = new AtomicInteger();

        private void refuseOnce(HttpServerRequest request) {
            if (refusals.getAndIncrement() == 0) {
                refuse(request);
            } else {
                finish(request);
            }
        }

        @Test
        void forAnotherThatRefusedThemBefore() {
            Duration forever = Duration.ofMinutes(1);
            assertWhole(
                    call(
                            silentFor(forever, 1),
                            () -> harness.engine("e2", other(this::refuseOnce))));
            assertThat(moves.get(), equalTo(2));
        }
    }

    @Nested
    class ManyAtOnce {
        @Test
        void areAllFinishedWhenTheOtherEngineIsFull() {
            int streams = 45;
            harness.engine("e2", other(MovedStreamsTest::refuse));
            harness.engine("e1", silentFor(SILENCE, 1));
            var answers = harness.callTogether("/write/x", streams);
            answers.forEach(MovedStreamsTest::assertWhole);
            assertThat("runs at the silent engine", runs.get(), equalTo(streams));
        }
    }

    @Nested
    class GoOnAtTheEngineThatDeliversFirst {
        @Test
        void andLeaveTheSilentOne() {
            CompletableFuture<Void> left = new CompletableFuture<>();
            Handler<HttpServerRequest> silent =
                    request -> {
                        if (!control(request)) {
                            request.connection().closeHandler(v -> left.complete(null));
                            RelayHarness.signed(request).setChunked(true).write(events(0, 1));
                            runs.incrementAndGet();
                        }
                    };
            assertWhole(call(silent, () -> harness.engine("e2", other(MovedStreamsTest::finish))));
            left.orTimeout(500, TimeUnit.MILLISECONDS).join();
        }

        @Test
        void andLeaveTheOtherOne() {
            CompletableFuture<Void> left = new CompletableFuture<>();
            assertFinishedBySilentEngine(
                    1,
                    () ->
                            harness.engine(
                                    "e2",
                                    other(
                                            r ->
                                                    r.connection()
                                                            .closeHandler(
                                                                    v -> left.complete(null)))));
            left.orTimeout(500, TimeUnit.MILLISECONDS).join();
        }

        @Test
        void alsoIfBothSendTheSameEvents() {
            Handler<HttpServerRequest> slow =
                    other(
                            r -> {
                                var response = RelayHarness.signed(r).setChunked(true);
                                response.write(events(0, 1));
                                harness.runAfter(
                                        Duration.ofMillis(900),
                                        () -> {
                                            if (!response.closed()) {
                                                response.end(events(1, ALL));
                                            }
                                        });
                            });
            assertWhole(call(silentFor(SILENCE, 1), () -> harness.engine("e2", slow)));
            assertThat(moves.get(), lessThanOrEqualTo(1));
        }

        @Test
        void andTakeTheOtherWhenTheSilentOneEnds() {
            Handler<HttpServerRequest> ending =
                    request -> {
                        if (!control(request)) {
                            RelayHarness.signed(request).setChunked(true).write(events(0, 1));
                            runs.incrementAndGet();
                            harness.runAfter(
                                    Duration.ofMillis(900), () -> request.connection().close());
                        }
                    };
            Handler<HttpServerRequest> late =
                    other(r -> harness.runAfter(Duration.ofMillis(800), () -> finish(r)));
            assertWhole(
                    call(
                            ending,
                            () -> {
                                harness.engine("e2", late);
                            }));
            assertThat("requests sent to the other engine", moves.get(), equalTo(1));
        }
    }
}
