package hyssopturn.front;

import hyssopturn.ledger.InDoubtCall;
import hyssopturn.node.Node;
import hyssopturn.port.Instance;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.Stream;

/** JSON format of a node's status. */
final class StatusFormat {
    /** Minimum age of a claim to be listed; calls of younger claims are taken to be running. */
    private static final Duration IN_DOUBT_AGE = Duration.ofSeconds(5);

    private StatusFormat() {}

    /** Returns the public part of the status. */
    static JsonObject json(Node node) {
        return new JsonObject()
                .put("node", node.self().id().value())
                .put("config", node.config().version())
                .put("running", node.running())
                .put("ready", node.ready())
                .put("ledger", ledger(node))
                .put("engines", names(node.view().engines().stream().map(e -> e.instance())))
                .put("services", names(node.view().services().stream()));
    }

    private static JsonObject ledger(Node node) {
        return new JsonObject()
                .put("ready", node.ledger().ready())
                .put("keys", node.ledger().size())
                .put("inDoubt", node.ledger().inDoubt(IN_DOUBT_AGE).size());
    }

    private static JsonArray inDoubt(Node node) {
        JsonArray calls = new JsonArray();
        for (InDoubtCall call : node.ledger().inDoubt(IN_DOUBT_AGE)) {
            calls.add(
                    new JsonObject()
                            .put("account", call.key().account().value())
                            .put("class", call.key().workClass().value())
                            .put("key", call.key().key())
                            .put("claimedAt", Instant.ofEpochMilli(call.wallMillis()).toString())
                            .put("ageSeconds", call.age().toSeconds())
                            .put("author", call.author())
                            .put("claim", call.number())
                            .put("reported", call.reported()));
        }
        return calls;
    }

    private static JsonArray names(Stream<Instance> instances) {
        JsonArray names = new JsonArray();
        instances.forEach(i -> names.add(i.id().value()));
        return names;
    }

    /** Adds the part of the status that only operators may see. */
    static void addForOperators(Node node, JsonObject status) {
        JsonObject classes = new JsonObject();
        node.attainment()
                .counts()
                .forEach(
                        (name, count) ->
                                classes.put(
                                        name.value(),
                                        new JsonObject()
                                                .put("within", count.met())
                                                .put("total", count.total())));
        status.put("classes", classes).put("inDoubt", inDoubt(node));
    }
}
