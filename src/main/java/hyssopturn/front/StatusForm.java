package hyssopturn.front;

import hyssopturn.node.Node;
import hyssopturn.port.Instance;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import java.util.stream.Stream;

/** JSON form of a node's state. */
final class StatusForm {
    private StatusForm() {}

    /** Tells what anybody may know. */
    static JsonObject json(Node node) {
        return new JsonObject()
                .put("node", node.self().id().value())
                .put("config", node.config().version())
                .put("running", node.running())
                .put("ready", node.ready())
                .put("engines", names(node.view().engines().stream().map(e -> e.instance())))
                .put("services", names(node.view().services().stream()));
    }

    private static JsonArray names(Stream<Instance> instances) {
        JsonArray names = new JsonArray();
        instances.forEach(i -> names.add(i.id().value()));
        return names;
    }

    /** Adds what only operators may know. */
    static void addForOperators(Node node, JsonObject status) {
        JsonObject classes = new JsonObject();
        node.attainment()
                .counts()
                .forEach(
                        (name, count) ->
                                classes.put(
                                        name.value(),
                                        new JsonObject()
                                                .put("within", count.within())
                                                .put("total", count.total())));
        status.put("classes", classes);
    }
}
