package hyssopturn;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import hyssopturn.Processes.Running;
import hyssopturn.cli.Program;
import hyssopturn.filter.Credentials;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;

/** Nodes as processes that pass answers on while others freeze and die. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class PeerPathTest {
    private static final String TOKEN =
            new Credentials("trial-accounts").token(new AccountId("ana"));
    private static final int READY_TRIES = 400;
    private static final int READY_PAUSE_MILLIS = 50;
    private static final int MAX_TOKENS = 30;
    private static final HttpClient HTTP = HttpClient.newHttpClient();
    private static final Processes processes = new Processes();
    private static final List<Running> nodes = new ArrayList<>();

    @BeforeAll
    static void startEverything() throws Exception {
        String platform = "--platform=" + processes.start("standin", "platform").address();
        processes.start("standin", "engine", platform, "--id=e", "--from=0", "--to=12");
        for (int i = 1; i <= 3; i++) {
            nodes.add(processes.start("node", platform, "--id=node-" + i));
        }
        Program.run("config", "publish", platform, "src/main/resources/hyssopturn/try.yaml");
        for (Running node : nodes) {
            awaitReady(node.address());
        }
    }

    @AfterAll
    static void stopEverything() {
        processes.close();
    }

    private static void awaitReady(Address node) throws IOException, InterruptedException {
        for (int i = 0; i < READY_TRIES; i++) {
            if (get(node, "/readyz").statusCode() == 200) {
                return;
            }
            Thread.sleep(READY_PAUSE_MILLIS);
        }
        throw new AssertionError("node is not ready: " + node);
    }

    private static HttpResponse<String> get(Address at, String path)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + at + path))
                        .header("Authorization", "Bearer " + TOKEN)
                        .build();
        return HTTP.send(request, BodyHandlers.ofString());
    }

    private static HttpResponse<String> sheet(Address at) throws Exception {
        JsonObject body =
                new JsonObject()
                        .put("model", "cutting-sheet")
                        .put("stream", true)
                        .put("max_tokens", MAX_TOKENS)
                        .put(
                                "messages",
                                new JsonArray().add(new JsonObject().put("content", "a bowl")));
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + at + "/v1/chat/completions"))
                        .header("Authorization", "Bearer " + TOKEN)
                        .POST(HttpRequest.BodyPublishers.ofString(body.encode()))
                        .build();
        return HTTP.send(request, BodyHandlers.ofString());
    }

    private static List<String> texts(String events) {
        return events.lines()
                .filter(l -> l.startsWith("data: {"))
                .map(l -> new JsonObject(l.substring("data: ".length())))
                .map(j -> j.getJsonArray("choices").getJsonObject(0))
                .map(c -> String.valueOf(c.getJsonObject("delta").getString("content")))
                .toList();
    }

    private static String answerPath(HttpResponse<String> reply) {
        return "/v1/answers/" + reply.headers().firstValue("Hyssopturn-Request").orElseThrow();
    }

    @Test
    @Order(1)
    void anAnswerIsPickedUpWholeAtAnyNode() throws Exception {
        HttpResponse<String> own = sheet(nodes.get(0).address());
        for (Running node : nodes) {
            HttpResponse<String> picked = get(node.address(), answerPath(own));
            assertThat(texts(picked.body()), is(texts(own.body())));
        }
    }

    @Test
    @Order(2)
    void aFrozenNodeIsToldOfAndServesAgainWhenItWakes() throws Exception {
        HttpResponse<String> own = sheet(nodes.get(0).address());
        Processes.signal(nodes.get(0).process(), "STOP");
        HttpResponse<String> during;
        try {
            during = get(nodes.get(1).address(), answerPath(own));
        } finally {
            Processes.signal(nodes.get(0).process(), "CONT");
        }
        assertThat(during.headers().firstValue("Hyssopturn-Outcome").orElse(""), is("unknown"));
        HttpResponse<String> after = get(nodes.get(1).address(), answerPath(own));
        assertThat(texts(after.body()), is(texts(own.body())));
    }

    @Test
    @Order(3)
    void aDeadNodeIsToldOfAndOthersServeOn() throws Exception {
        HttpResponse<String> own = sheet(nodes.get(0).address());
        nodes.get(0).process().destroyForcibly().waitFor();
        HttpResponse<String> gone = get(nodes.get(1).address(), answerPath(own));
        assertThat(gone.headers().firstValue("Hyssopturn-Outcome").orElse(""), is("unknown"));
        assertThat(gone.body(), containsString("node-1"));
        HttpResponse<String> next = sheet(nodes.get(2).address());
        assertThat(texts(next.body()), is(texts(own.body())));
    }
}
