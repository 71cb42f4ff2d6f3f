package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.Address;

import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests whose prompts hold a part that makes each engine crash that begins to answer. */
class CrashingPromptTest {
    private static final String EVENTS = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    private static final String HEADER = "Hyssopturn-Prompt-Prefix";
    private static final int ENGINES = 30;
    private static final int REQUESTS = 14;
    private static final int ANSWER_SECONDS = 15;

    /** Five crashes, and three more requests. */
    private static final int MAX_CRASHES = 5 + 3;

    private static final int UNAVAILABLE = 503;

    /** Time between requests, longer than crashes may have one cause. */
    private static final long PAUSE_MILLIS = 250;

    private final RelayHarness harness = new RelayHarness();
    private final Map<String, Address> addresses = new ConcurrentHashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();

    @AfterEach
    void close() {
        harness.close();
    }

    private void startEngines(String crash) {
        for (int i = 0; i < ENGINES; i++) {
            String id = "e" + i;
            addresses.put(id, harness.engine(id, 0, 80, r -> serve(id, crash, r)));
        }
    }

    private void serve(String id, String crash, HttpServerRequest request) {
        String parts = request.getHeader(HEADER);
        if (parts == null || !parts.contains("bad")) {
            RelayHarness.signed(request).setChunked(true).end(EVENTS);
            return;
        }
        crashes.incrementAndGet();
        harness.failProbes(addresses.get(id));
        switch (crash) {
            case "before the head" -> request.connection().close();
            case "after the head" -> {
                RelayHarness.signed(request).setChunked(true).writeHead();
                request.connection().close();
            }
            default -> {
                RelayHarness.signed(request).putHeader("Connection", "close").setChunked(true);
                request.response().write("id: 0\nda");
                request.connection().close();
            }
        }
    }

    private RelayHarness.Answer send(String parts) {
        return CompletableFuture.supplyAsync(() -> harness.call("/write/x", Map.of(HEADER, parts)))
                .orTimeout(ANSWER_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    @ParameterizedTest
    @ValueSource(strings = {"before the head", "after the head", "within an event"})
    void requestsWithOnePartDoNotCrashEngineAfterEngine(String crash) throws InterruptedException {
        startEngines(crash);
        for (int i = 0; i < REQUESTS; i++) {
            send("shared:4,sound" + i + ":4,bad:4,own" + i + ":4");
            Thread.sleep(PAUSE_MILLIS);
            assertThat(send("shared:4,sound" + i + ":4,other" + i + ":4").body(), equalTo(EVENTS));
        }
        assertThat(crashes.get(), lessThanOrEqualTo(MAX_CRASHES));
    }

    @Test
    void aRefusedRequestIsTruthfullyNotRunAndToldWhenToComeBack() throws InterruptedException {
        startEngines("before the head");
        RelayHarness.Answer answer = send("bad:4,own:4");
        for (int i = 0; i < REQUESTS && answer.status() != UNAVAILABLE; i++) {
            Thread.sleep(PAUSE_MILLIS);
            answer = send("bad:4,own" + i + ":4");
        }
        int before = crashes.get();
        answer = send("bad:4,last:4");
        assertThat(answer.status(), equalTo(UNAVAILABLE));
        assertThat(Double.parseDouble(answer.headers().get("Retry-After")), greaterThan(1.0));
        assertThat(crashes.get(), equalTo(before));
    }

    private static void write(HttpServerRequest request, int event) {
        if (!request.response().headWritten()) {
            RelayHarness.signed(request).setChunked(true);
        }
        request.response().write("id: " + event + "\ndata: a\n\n");
    }

    private void breakOff(HttpServerRequest request) {
        harness.runLater(() -> request.connection().close());
    }

    @Test
    void anAnswerThatHasBegunSurvivesTwoMoreCrashes() {
        AtomicInteger runs = new AtomicInteger();
        for (int i = 0; i < ENGINES; i++) {
            harness.engine("e" + i, r -> beginOnceAndFinishFourth(r, runs.incrementAndGet()));
        }
        RelayHarness.Answer answer = send("shared:4,own:4");
        assertThat(answer.complete(), equalTo(true));
        assertThat(runs.get(), equalTo(4));
    }

    private void beginOnceAndFinishFourth(HttpServerRequest request, int run) {
        if (run == 4) {
            RelayHarness.signed(request).setChunked(true).end("id: 2\ndata: c\n\n");
            return;
        }
        if (run == 1) {
            write(request, 0);
            harness.runLater(() -> write(request, 1));
            harness.runLater(() -> breakOff(request));
            return;
        }
        RelayHarness.signed(request).setChunked(true).writeHead();
        breakOff(request);
    }

    @Test
    void aSilentEngineIsNoLossThatEndsARequestAtItsNextOne() {
        AtomicInteger runs = new AtomicInteger();
        for (int i = 0; i < ENGINES; i++) {
            harness.engine("e" + i, r -> stallOnceAndFinishThird(r, runs));
        }
        assertThat(send("shared:4,own:4").body(), equalTo(EVENTS));
        assertThat(runs.get(), equalTo(3));
    }

    private void stallOnceAndFinishThird(HttpServerRequest request, AtomicInteger runs) {
        if (request.path().startsWith("/v1/")) {
            return;
        }
        int run = runs.incrementAndGet();
        if (run == 3) {
            RelayHarness.signed(request).setChunked(true).end(EVENTS);
            return;
        }
        RelayHarness.signed(request).setChunked(true).writeHead();
        if (run == 2) {
            breakOff(request);
        }
    }
}
