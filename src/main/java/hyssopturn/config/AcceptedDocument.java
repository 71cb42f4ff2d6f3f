package hyssopturn.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import hyssopturn.model.Bytes;

import java.util.Optional;

/**
 * A document that the fold of some node accepted, with the seal of that node.
 *
 * @param version its version: offset of its publication in the log
 * @param publication name of its publication
 * @param document the document, as YAML
 * @param seal proof that a node accepted it, see {@link Seal}
 */
public record AcceptedDocument(long version, String publication, String document, String seal) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Writes the document for another node.
     *
     * @return its bytes
     */
    public Bytes encode() {
        ObjectNode node = JSON.createObjectNode();
        node.put("version", version).put("publication", publication);
        node.put("document", document).put("seal", seal);
        return Bytes.utf8(node.toString());
    }

    /**
     * Reads what another node wrote; the seal is not checked.
     *
     * @param data the bytes
     * @return the document, empty if it is malformed
     */
    public static Optional<AcceptedDocument> decode(Bytes data) {
        try {
            JsonNode node = JSON.readTree(data.text());
            if (!node.path("version").canConvertToLong()
                    || !node.path("publication").isTextual()
                    || !node.path("document").isTextual()
                    || !node.path("seal").isTextual()) {
                return Optional.empty();
            }
            return Optional.of(
                    new AcceptedDocument(
                            node.path("version").asLong(),
                            node.path("publication").asText(),
                            node.path("document").asText(),
                            node.path("seal").asText()));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
