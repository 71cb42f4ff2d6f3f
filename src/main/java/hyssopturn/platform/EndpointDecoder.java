package hyssopturn.platform;

import static hyssopturn.platform.JsonValue.integer;
import static hyssopturn.platform.JsonValue.text;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.fleet.Endpoint;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.io.IOException;
import java.util.Optional;

/** Decodes the announcements of endpoints from JSON. */
final class EndpointDecoder {
    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final ObjectMapper JSON = new ObjectMapper();

    private EndpointDecoder() {}

    static Endpoint decode(String id, Bytes value) {
        try {
            JsonNode node = JSON.readTree(value.toArray());
            return endpoint(new InstanceId(id), node);
        } catch (IOException | InvalidArgumentException e) {
            throw new JsonValue.MalformedException(e.getMessage());
        }
    }

    private static Endpoint endpoint(InstanceId id, JsonNode node) {
        String state = text(node, "State");
        if (!state.equals(READY) && !state.equals(DRAINING)) {
            throw new JsonValue.MalformedException("State has an unknown value: " + state);
        }
        return new Endpoint(
                id,
                text(node, "Service"),
                Address.parse(text(node, "Address")),
                text(node, "Zone"),
                (int) integer(node, "Slots"),
                state.equals(DRAINING),
                node.path("Type").asText(""),
                layers(node.path("Layers")),
                integer(node, "born", 0),
                integer(node, "Sequence"));
    }

    private static Optional<LayerRange> layers(JsonNode node) {
        if (!node.has("From") || !node.has("To")) {
            return Optional.empty();
        }
        long from = integer(node, "From");
        long to = integer(node, "To");
        return to > from ? Optional.of(new LayerRange((int) from, (int) to)) : Optional.empty();
    }
}
