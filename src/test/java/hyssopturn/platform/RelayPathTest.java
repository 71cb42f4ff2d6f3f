package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Forwarding of requests from a caller to simulated workers over real connections. */
class RelayPathTest {
    private static final String EVENTS = "id: %d\ndata: %s\n\n";

    private final RelayHarness harness = new RelayHarness();

    @AfterEach
    void close() {
        harness.close();
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id < to; id++) {
            text.append(EVENTS.formatted(id, "t" + id));
        }
        return text.toString();
    }

    private static void stream(HttpServerRequest request, int from, int to, boolean complete) {
        var response = RelayHarness.signed(request).setChunked(true);
        response.write(events(from, to));
        if (complete) {
            response.end();
        } else {
            // sends a part of the next event, then closes the connection
            response.write("id: " + to + "\nda").onComplete(v -> request.connection().close());
        }
    }

    private static void refuse(HttpServerRequest request) {
        request.response().setStatusCode(503).putHeader("Hyssopturn-Not-Executed", "1").end();
    }

    @Nested
    class Streams {
        @Test
        void areForwardedCompletely() {
            harness.engine("e1", r -> stream(r, 0, 5, true));
            var answer = harness.call("/write/x", Map.of());
            assertThat(answer.status(), equalTo(200));
            assertThat(answer.body(), equalTo(events(0, 5)));
            assertThat(answer.complete(), is(true));
        }

        @Test
        void resumeOnAnotherEngineAfterTheLastCompleteEvent() {
            Handler<HttpServerRequest> engine =
                    r -> {
                        String after = r.getHeader("Last-Event-Id");
                        if (after == null) {
                            stream(r, 0, 3, false);
                        } else {
                            stream(r, Integer.parseInt(after) + 1, 6, true);
                        }
                    };
            harness.engine("e1", engine);
            harness.engine("e2", engine);
            var answer = harness.call("/write/x", Map.of());
            assertThat(answer.body(), equalTo(events(0, 6)));
            assertThat(answer.complete(), is(true));
        }

        @Test
        void areCutOffWhenNoEngineCanResumeThem() {
            harness.engine("e1", r -> stream(r, 0, 3, false));
            var answer = harness.call("/write/x", Map.of());
            assertThat(answer.body(), equalTo(events(0, 3)));
            assertThat(answer.complete(), is(false));
        }

        @Test
        void areCutOffBeforeAMissingEvent() {
            harness.engine(
                    "e1",
                    r -> RelayHarness.signed(r).setChunked(true).end(events(0, 2) + events(3, 5)));
            var answer = harness.call("/write/x", Map.of());
            assertThat(answer.body(), equalTo(events(0, 2)));
            assertThat(answer.complete(), is(false));
        }

        @Test
        void useAnotherChainWhenAnEngineRefuses() {
            harness.engine("e1", RelayPathTest::refuse);
            harness.engine("e2", r -> stream(r, 0, 2, true));
            var answer = harness.call("/write/x", Map.of());
            assertThat(answer.body(), equalTo(events(0, 2)));
        }

        @Test
        void restartOnAnotherEngineAfterALostAnswer() {
            List<String> triedEngines = new ArrayList<>();
            Handler<HttpServerRequest> engine =
                    r -> {
                        triedEngines.add(r.getHeader("Hyssopturn-Expect-Instance"));
                        if (triedEngines.size() == 1) {
                            r.connection().close();
                        } else {
                            stream(r, 0, 2, true);
                        }
                    };
            harness.engine("e1", engine);
            harness.engine("e2", engine);
            assertThat(harness.call("/write/x", Map.of()).body(), equalTo(events(0, 2)));
            assertThat(Set.copyOf(triedEngines), hasSize(2));
        }

        @Test
        void restartOnTheSameEngineIfThereIsNoOther() {
            List<String> triedEngines = new ArrayList<>();
            harness.engine(
                    "e1",
                    r -> {
                        triedEngines.add("e1");
                        if (triedEngines.size() == 1) {
                            r.connection().close();
                        } else {
                            stream(r, 0, 2, true);
                        }
                    });
            assertThat(harness.call("/write/x", Map.of()).body(), equalTo(events(0, 2)));
        }

        @Test
        void areRefusedAtOnceWithoutAChain() {
            var answer = harness.call("/write/x", Map.of());
            assertThat(answer.status(), equalTo(503));
            assertThat(answer.headers().get("Retry-After"), equalTo("1.0"));
        }
    }

    @Nested
    class NonRepeatableCalls {
        @Test
        void areNotRetriedAfterALostConnection() {
            harness.service("s1", r -> r.connection().close());
            harness.service("s2", r -> RelayHarness.signed(r).end("done"));
            for (int i = 0; i < 2; i++) {
                harness.call("/book/x", Map.of());
            }
            assertThat(harness.requestIds(), hasSize(2));
        }

        @Test
        void thatMayHaveRunAreAnsweredWithBadGateway() {
            harness.service("s1", r -> r.connection().close());
            var answer = harness.call("/book/x", Map.of());
            assertThat(answer.status(), equalTo(502));
        }

        @Test
        void areRetriedAfterARefusal() {
            harness.service("s1", RelayPathTest::refuse);
            harness.service("s2", r -> RelayHarness.signed(r).end("done"));
            var answer = harness.call("/book/x", Map.of());
            assertThat(answer.status(), equalTo(200));
            assertThat(answer.body(), equalTo("done"));
        }

        @Test
        void haveAnUnknownOutcomeAfterARefusalWithoutProof() {
            harness.service("s1", r -> RelayHarness.signed(r).setStatusCode(503).end());
            var answer = harness.call("/book/x", Map.of());
            assertThat(answer.status(), equalTo(502));
            assertThat(answer.headers().get("Hyssopturn-Server-Seal"), nullValue());
        }

        @Test
        void areRefusedIfAllEndpointsRefuse() {
            harness.service("s1", RelayPathTest::refuse);
            var answer = harness.call("/book/x", Map.of());
            assertThat(answer.status(), equalTo(503));
        }

        @Test
        void haveAnUnknownOutcomeAfterAnAnswerToAnotherRequest() {
            harness.service(
                    "s1",
                    r ->
                            r.response()
                                    .putHeader("Hyssopturn-Attempt-Id", "another")
                                    .putHeader("Hyssopturn-Server-Seal", "x")
                                    .end("stray"));
            var answer = harness.call("/book/x", Map.of());
            assertThat(answer.status(), equalTo(502));
        }
    }

    @Nested
    class RepeatableCalls {
        @Test
        void areRetriedAfterALostConnection() {
            harness.service("s1", r -> r.connection().close());
            harness.service("s2", r -> RelayHarness.signed(r).end("found"));
            var answer = harness.call("/look/x", Map.of());
            assertThat(answer.body(), equalTo("found"));
        }

        @Test
        void returnTheFailureIfAllEndpointsFail() {
            harness.service("s1", r -> RelayHarness.signed(r).setStatusCode(500).end("bad"));
            harness.service("s2", r -> RelayHarness.signed(r).setStatusCode(500).end("bad"));
            var answer = harness.call("/look/x", Map.of());
            assertThat(answer.status(), equalTo(500));
            assertThat(answer.body(), equalTo("bad"));
        }
    }

    @Nested
    class Accounts {
        @Test
        void replaceTheApiKeyInForwardedRequests() {
            CompletableFuture<MultiMap> seen = new CompletableFuture<>();
            harness.service(
                    "s1",
                    r -> {
                        seen.complete(MultiMap.caseInsensitiveMultiMap().addAll(r.headers()));
                        RelayHarness.signed(r).end();
                    });
            harness.call("/look/x", Map.of("Hyssopturn-Tenant", "forged"));
            MultiMap headers = seen.join();
            assertThat(headers.get("X-Api-Key"), nullValue());
            assertThat(headers.getAll("Hyssopturn-Tenant"), equalTo(List.of("ann")));
            assertThat(headers.get("Host"), containsString("example"));
            assertThat(headers.get("Hyssopturn-Expect-Instance"), equalTo("s1"));
        }

        @Test
        void withAnUnknownKeyAreUnauthorized() {
            assertThat(harness.call("/look/x", Map.of("X-Api-Key", "none")).status(), equalTo(401));
        }
    }

    @Nested
    class Routes {
        @Test
        void thatDoNotExistAreNotFound() {
            assertThat(harness.call("/none/x", Map.of()).status(), equalTo(404));
        }

        @Test
        void areNotReportedMissingWhileTheConfigurationMayBeStale() {
            harness.expireConfirmation();
            assertThat(harness.call("/none/x", Map.of()).status(), equalTo(503));
            assertThat(harness.call("/look/x", Map.of("X-Api-Key", "none")).status(), equalTo(503));
        }

        @Test
        void thatTimeOutAnswerWithGatewayTimeout() {
            harness.service("s1", r -> {});
            assertThat(harness.call("/quick/x", Map.of()).status(), equalTo(504));
        }
    }

    @Nested
    class AStartingNode {
        private final RelayHarness starting = new RelayHarness(false);

        @AfterEach
        void close() {
            starting.close();
        }

        @Test
        void holdsRequestsUntilItsFirstConfiguration() {
            var answer = CompletableFuture.supplyAsync(() -> starting.call("/look/x", Map.of()));
            starting.service("s1", r -> RelayHarness.signed(r).end("found"));
            starting.configure(RelayHarnessConfig.catalog());
            assertThat(answer.join().body(), equalTo("found"));
        }

        @Test
        void refusesRequestsIfNoConfigurationArrives() {
            assertThat(starting.call("/look/x", Map.of()).status(), equalTo(503));
        }
    }

    @Nested
    class DisconnectedCallers {
        @Test
        void closeTheConnectionToTheEndpoint() {
            CompletableFuture<Void> closed = new CompletableFuture<>();
            CompletableFuture<Void> arrived = new CompletableFuture<>();
            harness.service(
                    "s1",
                    r -> {
                        r.connection().closeHandler(v -> closed.complete(null));
                        arrived.complete(null);
                    });
            harness.callAndDisconnect("/book/x", arrived);
            closed.join();
            assertThat(closed.isDone(), is(true));
        }
    }

    @Test
    void aBodyIsForwardedUnchanged() {
        CompletableFuture<Buffer> seen = new CompletableFuture<>();
        harness.service(
                "s1",
                r ->
                        r.body()
                                .onSuccess(
                                        body -> {
                                            seen.complete(body);
                                            RelayHarness.signed(r).end();
                                        }));
        harness.call("/book/x?q=1", Map.of());
        assertThat(seen.join().toString(), equalTo(RelayHarness.BODY));
    }
}
