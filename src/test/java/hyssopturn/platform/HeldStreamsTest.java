package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.trace.TraceEvent;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Guards new streams that were refused while all engines were only silent. */
class HeldStreamsTest {
    private static final int ALL = 4;
    private static final Duration SILENCE = Duration.ofMillis(1_300);

    private final RelayHarness harness = new RelayHarness();
    private final AtomicInteger runs = new AtomicInteger();
    private final List<Runnable> unfinished = new ArrayList<>();
    private boolean silent = true;

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

    private static boolean control(HttpServerRequest request) {
        return request.path().startsWith("/v1/");
    }

    private static void assertWhole(RelayHarness.Answer answer) {
        assertThat(answer.status(), equalTo(200));
        assertThat(answer.body(), equalTo(events(0, ALL)));
        assertThat(answer.complete(), is(true));
    }

    private static void refuse(HttpServerRequest request) {
        RelayHarness.signed(request)
                .putHeader("Hyssopturn-Not-Executed", "1")
                .setStatusCode(503)
                .end();
    }

    /** Sends one event and is silent with all its work until it goes on. */
    private Handler<HttpServerRequest> silentEngine() {
        return request -> {
            if (control(request)) {
                return;
            }
            runs.incrementAndGet();
            HttpServerResponse response = RelayHarness.signed(request).setChunked(true);
            if (!silent) {
                response.end(events(0, ALL));
                return;
            }
            response.write(events(0, 1));
            unfinished.add(() -> response.end(events(1, ALL)));
        };
    }

    private void goOn() {
        silent = false;
        unfinished.forEach(Runnable::run);
    }

    /** Starts a stream at an engine that falls silent, and waits until the engine is suspected. */
    private CompletableFuture<RelayHarness.Answer> beginSilence() {
        harness.engine("e1", silentEngine());
        var answer = CompletableFuture.supplyAsync(() -> harness.call("/write/x", Map.of()));
        while (!harness.statesOf("e1").contains("suspect")) {
            Thread.onSpinWait();
        }
        return answer;
    }

    @Nested
    class AreServedWhenTheEngineGoesOn {
        @Test
        void ifThereIsNoOther() {
            var first = beginSilence();
            harness.runAfter(SILENCE, HeldStreamsTest.this::goOn);
            harness.callTogether("/write/x", 10).forEach(HeldStreamsTest::assertWhole);
            assertWhole(first.join());
        }

        @Test
        void ifTheOtherRefusesThem() {
            harness.engine("e2", HeldStreamsTest::refuse);
            var first = beginSilence();
            harness.runAfter(SILENCE, HeldStreamsTest.this::goOn);
            harness.callTogether("/write/x", 10).forEach(HeldStreamsTest::assertWhole);
            assertWhole(first.join());
        }

        @Test
        void onARouteThatMustRunAtMostOnce() {
            var first = beginSilence();
            harness.runAfter(SILENCE, HeldStreamsTest.this::goOn);
            assertWhole(harness.call("/once/x", Map.of()));
            assertWhole(first.join());
            assertThat(runs.get(), equalTo(2));
        }
    }

    @Nested
    class AreRefused {
        private void assertRefused(RelayHarness.Answer answer) {
            assertThat(answer.status(), equalTo(503));
            assertThat(answer.headers().get("Retry-After"), notNullValue());
        }

        @Test
        void atOnceWhenThereIsNoEngine() {
            assertRefused(harness.call("/write/x", Map.of()));
            assertThat(harness.logged(TraceEvent.RetryDeferred.class), equalTo(0L));
        }

        @Test
        void atOnceWhenTheOnlyEngineRefusesConnections() {
            harness.announce("e1", new Address("127.0.0.1", 1), Optional.of(new LayerRange(0, 80)));
            long begun = System.nanoTime();
            assertRefused(harness.call("/write/x", Map.of()));
            assertThat(
                    Duration.ofNanos(System.nanoTime() - begun), lessThan(Duration.ofSeconds(1)));
            assertThat(harness.logged(TraceEvent.RetryDeferred.class), equalTo(0L));
        }

        @Test
        void onceTheSilentEngineIsGone() {
            var first = beginSilence();
            harness.runAfter(
                    Duration.ofMillis(300),
                    () -> CompletableFuture.runAsync(() -> harness.remove("e1")));
            long begun = System.nanoTime();
            assertRefused(harness.call("/write/x", Map.of()));
            assertThat(
                    Duration.ofNanos(System.nanoTime() - begun), lessThan(Duration.ofSeconds(1)));
            finishFirst(first);
        }

        @Test
        void whenTheSilenceLastsTooLongForTheirCallers() {
            var first = beginSilence();
            assertRefused(harness.call("/write/x", Map.of("Hyssopturn-Deadline-Ms", "700")));
            assertThat(runs.get(), equalTo(1));
            finishFirst(first);
        }

        private void finishFirst(CompletableFuture<RelayHarness.Answer> first) {
            harness.runAfter(Duration.ofMillis(1), HeldStreamsTest.this::goOn);
            assertWhole(first.join());
        }
    }
}
