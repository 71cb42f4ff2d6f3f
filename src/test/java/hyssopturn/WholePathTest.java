package hyssopturn;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import hyssopturn.Processes.Running;
import hyssopturn.cli.Program;
import hyssopturn.filter.Credentials;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.port.EngineClient.Token;
import hyssopturn.run.Prompt;
import hyssopturn.standin.ReferenceModel;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The whole path, every part a process of its own. */
class WholePathTest {
    private static final String TOKEN =
            new Credentials("trial-accounts").token(new AccountId("ana"));
    private static final ModelSpec MODEL = new ModelSpec(new ModelId("atelier", "1"), 12, 1);
    private static final int MAX_TOKENS = 40;
    private static final int READY_TRIES = 200;
    private static final int READY_PAUSE_MILLIS = 50;
    private static final HttpClient HTTP = HttpClient.newHttpClient();
    private static final Processes processes = new Processes();
    private static final List<Address> nodes = new ArrayList<>();
    private static Address service;
    private static String platform;

    @BeforeAll
    static void startEverything() throws Exception {
        platform = "--platform=" + processes.start("standin", "platform").address();
        for (int from = 0; from < 12; from += 4) {
            processes.start(
                    "standin",
                    "engine",
                    platform,
                    "--id=engine-" + from,
                    "--from=" + from,
                    "--to=" + (from + 4));
        }
        service = processes.start("standin", "service", platform, "--id=dispatch-1").address();
        for (int i = 1; i <= 3; i++) {
            Running node = processes.start("node", platform, "--id=node-" + i);
            nodes.add(node.address());
        }
        int published =
                Program.run(
                        "config", "publish", platform, "src/main/resources/hyssopturn/try.yaml");
        assertThat(published, is(0));
        for (Address node : nodes) {
            awaitReady(node);
        }
    }

    @AfterAll
    static void stopEverything() {
        processes.close();
    }

    private static void awaitReady(Address node) throws IOException, InterruptedException {
        for (int i = 0; i < READY_TRIES; i++) {
            JsonObject status = new JsonObject(get(node, "/v1/status"));
            if (status.getBoolean("ready")
                    && status.getJsonObject("ledger").getBoolean("ready")
                    && status.getJsonArray("engines").size() == 3
                    && status.getJsonArray("services").size() == 1) {
                return;
            }
            Thread.sleep(READY_PAUSE_MILLIS);
        }
        throw new AssertionError("node is not ready: " + node);
    }

    private static String get(Address at, String path) throws IOException, InterruptedException {
        URI uri = URI.create("http://" + at + path);
        return HTTP.send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString()).body();
    }

    private static HttpResponse<String> post(Address at, String path, String key, String body)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + at + path))
                        .header("Authorization", "Bearer " + TOKEN)
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return HTTP.send(request, BodyHandlers.ofString());
    }

    @Nested
    class Sheet {
        @Test
        void isTheModelsOwnAnswerAtEveryNode() throws Exception {
            String prompt = "cut blank 12 for a bowl";
            String expected =
                    ReferenceModel.generate(MODEL, Prompt.of(prompt).ids(), MAX_TOKENS).stream()
                            .map(Token::text)
                            .collect(Collectors.joining());
            JsonObject body =
                    new JsonObject()
                            .put("model", "cutting-sheet")
                            .put("stream", true)
                            .put("max_tokens", MAX_TOKENS)
                            .put(
                                    "messages",
                                    new JsonArray().add(new JsonObject().put("content", prompt)));
            for (Address node : nodes) {
                String events = post(node, "/v1/chat/completions", "", body.encode()).body();
                assertThat(text(events), is(expected));
            }
        }

        private String text(String events) {
            return events.lines()
                    .filter(l -> l.startsWith("data: {"))
                    .map(l -> new JsonObject(l.substring("data: ".length())))
                    .map(j -> j.getJsonArray("choices").getJsonObject(0))
                    .map(c -> c.getJsonObject("delta").getString("content"))
                    .collect(Collectors.joining());
        }
    }

    private static int calls() throws Exception {
        return new JsonObject(get(service, "/v1/journal")).getJsonArray("calls").size();
    }

    @Nested
    class Booking {
        @Test
        void runsOnceThoughSentToTwoNodes() throws Exception {
            String crate = "{\"crate\":7}";
            String path = "/v1/calls/shipment-booking";
            int before = calls();
            HttpResponse<String> first = post(nodes.get(0), path, "crate-7", crate);
            HttpResponse<String> again = post(nodes.get(1), path, "crate-7", crate);
            assertThat(first.statusCode(), is(200));
            assertThat(again.body(), is(first.body()));
            assertThat(calls() - before, is(1));
        }
    }

    @Nested
    class BadInput {
        private static final String CALL = "/v1/calls/shipment-booking";
        private static final int BODY_LIMIT = 1 << 20;

        @Test
        void isRefusedWithATypedErrorAndNeverReachesAnEndpoint() throws Exception {
            int before = calls();
            assertRefused(post(node(), CALL, "", "{}"), 400, "key-required");
            assertRefused(post(node(), CALL, "k", "{"), 400, "invalid-request");
            assertRefused(post(node(), "/v1/calls/none", "k", "{}"), 404, "unknown-class");
            assertRefused(
                    post(node(), "/v1/calls/cutting-sheet", "k", "{}"), 400, "invalid-request");
            String large = "{\"a\":\"" + "x".repeat(BODY_LIMIT) + "\"}";
            assertRefused(post(node(), CALL, "k", large), 413, "invalid-request");
            assertThat(calls(), is(before));
        }

        @Test
        void ofModelsIsRefusedWithATypedError() throws Exception {
            String path = "/v1/chat/completions";
            assertRefused(post(node(), path, "", "{\"model\":"), 400, "invalid-request");
            assertRefused(post(node(), path, "", "[1]"), 400, "invalid-request");
            String tokens =
                    "{\"model\":\"cutting-sheet\",\"max_tokens\":0,\"messages\":"
                            + "[{\"content\":\"x\"}]}";
            assertRefused(post(node(), path, "", tokens), 400, "invalid-request");
        }

        @Test
        void withoutAGenuineTokenIsTurnedAway() throws Exception {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + node() + CALL))
                            .header("Authorization", "Bearer ana.forged")
                            .POST(HttpRequest.BodyPublishers.ofString("{}"))
                            .build();
            assertRefused(HTTP.send(request, BodyHandlers.ofString()), 401, "unauthenticated");
        }

        @Test
        void ofAKeyUsedWithAnotherBodyIsAConflict() throws Exception {
            post(node(), CALL, "crate-8", "{\"crate\":8}");
            assertRefused(post(node(), CALL, "crate-8", "{\"crate\":9}"), 409, "key-conflict");
        }

        private Address node() {
            return nodes.get(0);
        }

        private void assertRefused(HttpResponse<String> answer, int status, String type) {
            assertThat(answer.statusCode(), is(status));
            JsonObject body = new JsonObject(answer.body());
            assertThat(body.getString("outcome"), is("not-run"));
            assertThat(body.getJsonObject("error").getString("type"), is(type));
            assertThat(answer.headers().firstValue("Hyssopturn-Outcome").orElse(""), is("not-run"));
        }
    }

    @Nested
    class Shutdown {
        @Test
        void finishesTheStreamInProgressAndRefusesNewWork() throws Exception {
            Running node = processes.start("node", platform, "--id=node-leaving");
            awaitReady(node.address());
            String body =
                    "{\"model\":\"adopter-letter\",\"stream\":true,\"max_tokens\":90,"
                            + "\"messages\":[{\"content\":\"a long letter\"}]}";
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://" + node.address() + "/v1/chat/completions"))
                            .header("Authorization", "Bearer " + TOKEN)
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build();
            HttpResponse<Stream<String>> answer = HTTP.send(request, BodyHandlers.ofLines());
            Iterator<String> lines = answer.body().iterator();
            StringBuilder events = new StringBuilder(lines.next()).append('\n');
            Processes.signal(node.process(), "TERM");
            while (lines.hasNext()) {
                events.append(lines.next()).append('\n');
            }
            assertThat(events.toString(), containsString("\"outcome\":\"done\""));
            assertThat(node.process().waitFor(20, TimeUnit.SECONDS), is(true));
        }
    }
}
