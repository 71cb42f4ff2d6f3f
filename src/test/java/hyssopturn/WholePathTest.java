package hyssopturn;

import static org.hamcrest.MatcherAssert.assertThat;
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
import java.util.List;
import java.util.stream.Collectors;

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

    @BeforeAll
    static void startEverything() throws Exception {
        String platform = "--platform=" + processes.start("standin", "platform").address();
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

    @Nested
    class Booking {
        @Test
        void runsOnceThoughSentToTwoNodes() throws Exception {
            String crate = "{\"crate\":7}";
            String path = "/v1/calls/shipment-booking";
            HttpResponse<String> first = post(nodes.get(0), path, "crate-7", crate);
            HttpResponse<String> again = post(nodes.get(1), path, "crate-7", crate);
            assertThat(first.statusCode(), is(200));
            assertThat(again.body(), is(first.body()));
            JsonArray calls = new JsonObject(get(service, "/v1/journal")).getJsonArray("calls");
            assertThat(calls.size(), is(1));
        }
    }

    @Nested
    class BadInput {
        @Test
        void neverReachesAnEndpoint() throws Exception {
            HttpResponse<String> malformed =
                    post(nodes.get(0), "/v1/chat/completions", "", "{\"model\":");
            assertThat(malformed.statusCode(), is(400));
            assertThat(
                    malformed.headers().firstValue("Hyssopturn-Outcome").orElse(""), is("not-run"));
        }
    }
}
