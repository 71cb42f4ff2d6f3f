package hyssopturn.event;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** JSON form of events. */
public final class EventJson {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> COMMON =
            Set.of("millis", "counter", "node", "request", "what");

    private EventJson() {}

    /**
     * Writes the events of a node.
     *
     * @param node the node
     * @param events its events
     * @return JSON text
     */
    public static String write(InstanceId node, List<Event> events) {
        ObjectNode root = JSON.createObjectNode().put("node", node.value());
        ArrayNode array = root.putArray("events");
        events.forEach(event -> array.add(json(event)));
        return root.toString();
    }

    /**
     * Writes entries of a time line.
     *
     * @param entries the entries
     * @return JSON text
     */
    public static String write(List<Entry> entries) {
        ArrayNode array = JSON.createArrayNode();
        for (Entry entry : entries) {
            ObjectNode node = common(entry.stamp(), entry.node(), entry.request(), entry.what());
            entry.fields().forEach(node::put);
            array.add(node);
        }
        return array.toPrettyString();
    }

    /**
     * Reads the events of a node.
     *
     * @param text JSON text
     * @return the events, empty if the text is malformed
     */
    public static Optional<List<Entry>> read(String text) {
        try {
            List<Entry> entries = new ArrayList<>();
            for (JsonNode node : JSON.readTree(text).path("events")) {
                entries.add(entry(node));
            }
            return Optional.of(entries);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static Entry entry(JsonNode node) {
        Map<String, String> fields = new HashMap<>();
        node.properties().stream()
                .filter(e -> !COMMON.contains(e.getKey()))
                .forEach(e -> fields.put(e.getKey(), e.getValue().asText()));
        return new Entry(
                new Stamp(node.path("millis").asLong(), node.path("counter").asInt()),
                node.path("node").asText(),
                Optional.ofNullable(node.get("request")).map(JsonNode::asText),
                node.path("what").asText(),
                fields);
    }

    private static ObjectNode common(
            Stamp stamp, String node, Optional<String> request, String what) {
        ObjectNode json =
                JSON.createObjectNode()
                        .put("millis", stamp.millis())
                        .put("counter", stamp.counter())
                        .put("node", node);
        request.ifPresent(r -> json.put("request", r));
        return json.put("what", what);
    }

    private static ObjectNode json(Event event) {
        ObjectNode json =
                common(
                        event.stamp(),
                        event.node().value(),
                        event.request().map(r -> r.value()),
                        event.detail().what());
        return switch (event.detail()) {
            case Detail.Arrived d ->
                    json.put("account", d.account().value()).put("class", d.workClass().value());
            case Detail.Ended d ->
                    json.put("outcome", d.outcome().label())
                            .put("reason", d.reason().code())
                            .put("message", d.message());
            case Detail.AttemptBegan d -> json.put("attempt", d.attempt()).put("chain", d.chain());
            case Detail.EndpointFailed d ->
                    json.put("endpoint", d.endpoint().value()).put("error", d.error());
            case Detail.Claim d -> json.put("state", d.state());
            case Detail.ConfigInForce d -> json.put("version", d.version());
            case Detail.InstanceChanged d ->
                    json.put("endpoint", d.instance().value()).put("state", d.state());
            case Detail.NodeState d -> json.put("state", d.state());
        };
    }
}
