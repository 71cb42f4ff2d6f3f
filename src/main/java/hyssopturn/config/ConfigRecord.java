package hyssopturn.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import hyssopturn.model.Bytes;

import java.util.Optional;

/**
 * A publication as it stands in the log.
 *
 * @param publication unique name of the publication
 * @param base version of the configuration that it was edited from
 * @param document the document, as YAML
 */
public record ConfigRecord(String publication, long base, String document) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Writes the record.
     *
     * @return its bytes
     */
    public Bytes encode() {
        ObjectNode node = JSON.createObjectNode();
        node.put("publication", publication).put("base", base).put("document", document);
        return Bytes.utf8(node.toString());
    }

    /**
     * Reads a record.
     *
     * @param data its bytes
     * @return the record, empty if it is malformed
     */
    public static Optional<ConfigRecord> decode(Bytes data) {
        try {
            JsonNode node = JSON.readTree(data.text());
            if (!node.path("publication").isTextual()
                    || !node.path("base").isIntegralNumber()
                    || !node.path("document").isTextual()) {
                return Optional.empty();
            }
            return Optional.of(
                    new ConfigRecord(
                            node.path("publication").asText(),
                            node.path("base").asLong(),
                            node.path("document").asText()));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
