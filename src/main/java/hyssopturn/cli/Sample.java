package hyssopturn.cli;

import hyssopturn.model.Address;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;

import java.io.PrintWriter;
import java.util.List;

/** Sends sample requests and prints what came back. */
final class Sample {
    private final WebClient client;
    private final String token;
    private final PrintWriter out;

    Sample(Vertx vertx, String token, PrintWriter out) {
        client = WebClient.create(vertx);
        this.token = token;
        this.out = out;
    }

    /** Sends every sample; true if all went well. */
    boolean run(List<Daemon> nodes) {
        boolean sheet = sheet(nodes.get(0).address());
        boolean letter = letter(nodes.get(1).address());
        boolean lookup = call(nodes.get(2).address(), "record-lookup", "", "{\"jenny\":\"Bella\"}");
        String crate = "{\"crate\":7,\"to\":\"Xela\"}";
        boolean booking = call(nodes.get(0).address(), "shipment-booking", "crate-7", crate);
        boolean again = call(nodes.get(1).address(), "shipment-booking", "crate-7", crate);
        return sheet && letter && lookup && booking && again;
    }

    private boolean sheet(Address node) {
        return chat(node, "cutting-sheet", "cut blank 12 for a hyssop bowl", true);
    }

    private boolean letter(Address node) {
        return chat(node, "adopter-letter", "how is Bella the donkey today", false);
    }

    private boolean chat(Address node, String workClass, String prompt, boolean stream) {
        JsonObject message = new JsonObject().put("role", "user").put("content", prompt);
        JsonObject body =
                new JsonObject()
                        .put("model", workClass)
                        .put("stream", stream)
                        .put("max_tokens", 16)
                        .put("messages", new JsonArray().add(message));
        HttpResponse<Buffer> answer = post(node, "/v1/chat/completions", "", body.toBuffer());
        String text = answer.bodyAsString();
        out.println(workClass + ": status " + answer.statusCode());
        out.println(stream ? tokens(text) : text);
        return stream
                ? text.contains("\"outcome\":\"done\"")
                : "done".equals(answer.getHeader("Hyssopturn-Outcome"));
    }

    private static String tokens(String events) {
        StringBuilder text = new StringBuilder();
        events.lines()
                .filter(l -> l.startsWith("data: {"))
                .map(l -> new JsonObject(l.substring("data: ".length())))
                .map(j -> j.getJsonArray("choices").getJsonObject(0).getJsonObject("delta"))
                .forEach(d -> text.append(d.getString("content")));
        return " " + text;
    }

    private boolean call(Address node, String workClass, String key, String body) {
        HttpResponse<Buffer> answer =
                post(node, "/v1/calls/" + workClass, key, Buffer.buffer(body));
        out.println(workClass + ": status " + answer.statusCode() + " " + answer.bodyAsString());
        return "done".equals(answer.getHeader("Hyssopturn-Outcome"));
    }

    private HttpResponse<Buffer> post(Address node, String path, String key, Buffer body) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.add("Authorization", "Bearer " + token);
        headers.add("Content-Type", "application/json");
        if (!key.isEmpty()) {
            headers.add("Idempotency-Key", key);
        }
        return client.post(node.port(), node.host(), path)
                .putHeaders(headers)
                .sendBuffer(body)
                .await();
    }
}
