package hyssopturn;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

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
import org.junit.jupiter.api.Test;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Collectors;

/** Faults of engines in the middle of a stream, every part a process of its own. */
class RealFaultTest {
    private static final String TOKEN =
            new Credentials("trial-accounts").token(new AccountId("ana"));
    private static final ModelSpec MODEL = new ModelSpec(new ModelId("atelier", "1"), 12, 1);
    private static final int MAX_TOKENS = 40;
    private static final int BEFORE_FAULT = 6;
    private static final int READY_TRIES = 400;
    private static final int READY_PAUSE_MILLIS = 50;
    private static final int LEAVE_LIMIT_MILLIS = 2_000;
    private static final double SLOW = 4;
    private static final HttpClient HTTP = HttpClient.newHttpClient();
    private static final Processes processes = new Processes();
    private static final int MIDDLE_LAYER = 5;
    private static final List<Running> engines = new ArrayList<>();
    private static Address node;

    @BeforeAll
    static void startEverything() throws Exception {
        String platform = "--platform=" + processes.start("standin", "platform").address();
        slow(engine(platform, "first", 0, 4));
        slow(engine(platform, "last", 8, 12));
        for (int i = 0; i < 3; i++) {
            slow(engine(platform, "middle-" + i, 4, 8));
        }
        node = processes.start("node", platform, "--id=node-1").address();
        String document = "src/test/resources/hyssopturn/patient.yaml";
        assertThat(Program.run("config", "publish", platform, document), is(0));
        awaitReady();
    }

    private static Running engine(String platform, String id, int from, int to) throws Exception {
        Running engine =
                processes.start(
                        "standin",
                        "engine",
                        platform,
                        "--id=" + id,
                        "--from=" + from,
                        "--to=" + to);
        engines.add(engine);
        return engine;
    }

    @AfterAll
    static void stopEverything() {
        processes.close();
    }

    private static void awaitReady() throws Exception {
        for (int i = 0; i < READY_TRIES; i++) {
            JsonObject status = new JsonObject(send(node, "GET", "/v1/status", ""));
            if (status.getBoolean("ready") && status.getJsonArray("engines").size() == 5) {
                return;
            }
            Thread.sleep(READY_PAUSE_MILLIS);
        }
        throw new AssertionError("node is not ready");
    }

    private static String send(Address at, String method, String path, String body)
            throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + at + path))
                        .method(method, BodyPublishers.ofString(body))
                        .build();
        return HTTP.send(request, BodyHandlers.ofString()).body();
    }

    private static void slow(Running engine) throws Exception {
        faults(engine, false);
    }

    private static void faults(Running engine, boolean draining) throws Exception {
        JsonObject body = new JsonObject().put("slowdown", SLOW).put("draining", draining);
        send(engine.address(), "PUT", "/v1/faults", body.encode());
    }

    private static JsonArray journal(Running engine) throws Exception {
        String body = send(engine.address(), "GET", "/v1/journal", "");
        return new JsonObject(body).getJsonArray("steps");
    }

    /** Something done to the engine that runs the middle layers of a stream. */
    @FunctionalInterface
    private interface Fault {
        void strike(Running engine) throws Exception;
    }

    private static String stream(String prompt, Fault fault) throws Exception {
        List<Integer> before = sizes();
        JsonObject body =
                new JsonObject()
                        .put("model", "cutting-sheet")
                        .put("stream", true)
                        .put("max_tokens", MAX_TOKENS)
                        .put(
                                "messages",
                                new JsonArray().add(new JsonObject().put("content", prompt)));
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + node + "/v1/chat/completions"))
                        .header("Authorization", "Bearer " + TOKEN)
                        .POST(BodyPublishers.ofString(body.encode()))
                        .build();
        Iterator<String> lines = HTTP.send(request, BodyHandlers.ofLines()).body().iterator();
        StringBuilder text = new StringBuilder();
        int tokens = 0;
        while (lines.hasNext()) {
            String line = lines.next();
            if (!line.startsWith("data: {")) {
                continue;
            }
            JsonObject choice =
                    new JsonObject(line.substring("data: ".length()))
                            .getJsonArray("choices")
                            .getJsonObject(0);
            text.append(choice.getJsonObject("delta").getString("content", ""));
            tokens++;
            if (tokens == BEFORE_FAULT) {
                fault.strike(inUse(before));
            }
        }
        return text.toString();
    }

    private static List<Integer> sizes() throws Exception {
        List<Integer> sizes = new ArrayList<>();
        for (Running engine : engines) {
            sizes.add(engine.process().isAlive() ? journal(engine).size() : 0);
        }
        return sizes;
    }

    /** Finds who runs the middle layers; placement may have given them to any engine. */
    private static Running inUse(List<Integer> before) throws Exception {
        for (int i = 0; i < engines.size(); i++) {
            Running engine = engines.get(i);
            if (engine.process().isAlive() && ranMiddle(journal(engine), before.get(i))) {
                return engine;
            }
        }
        throw new AssertionError("no engine runs the middle layers");
    }

    private static boolean ranMiddle(JsonArray steps, int before) {
        return steps.stream()
                .skip(before)
                .map(JsonObject.class::cast)
                .anyMatch(
                        s ->
                                s.getInteger("from") <= MIDDLE_LAYER
                                        && MIDDLE_LAYER < s.getInteger("to"));
    }

    private static String expected(String prompt) {
        return ReferenceModel.generate(MODEL, Prompt.of(prompt).ids(), MAX_TOKENS).stream()
                .map(Token::text)
                .collect(Collectors.joining());
    }

    @Test
    void answerIsWholeWhenAnEngineIsKilled() throws Exception {
        String prompt = "cut blank 12 for a bowl";
        String text = stream(prompt, e -> Processes.signal(e.process(), "KILL"));
        assertThat(text, is(expected(prompt)));
    }

    @Test
    void answerIsWholeWhenAnEngineFreezes() throws Exception {
        List<Running> frozen = new ArrayList<>();
        String prompt = "cut blank 13 for a heron";
        try {
            String text =
                    stream(
                            prompt,
                            e -> {
                                frozen.add(e);
                                Processes.signal(e.process(), "STOP");
                            });
            assertThat(text, is(expected(prompt)));
        } finally {
            for (Running engine : frozen) {
                Processes.signal(engine.process(), "CONT");
            }
        }
    }

    @Test
    void engineThatLeavesFinishesItsStreamAndGetsNoNewWork() throws Exception {
        List<Running> leaving = new ArrayList<>();
        String prompt = "cut blank 14 for a lamp";
        String text =
                stream(
                        prompt,
                        e -> {
                            leaving.add(e);
                            faults(e, true);
                        });
        assertThat(text, is(expected(prompt)));
        Thread.sleep(LEAVE_LIMIT_MILLIS);
        int before = journal(leaving.getFirst()).size();
        for (int i = 0; i < 4; i++) {
            String other = "cut blank " + i + " for a box";
            assertThat(
                    stream(other, e -> assertThat(leaving, not(hasItem(e)))), is(expected(other)));
        }
        assertThat(journal(leaving.getFirst()).size(), is(before));
        faults(leaving.getFirst(), false);
    }
}
