package hyssopturn.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import hyssopturn.model.Bytes;

import java.util.Optional;

/** A record of the stream of configurations. */
public sealed interface ConfigRecord {
    /** Base of a publication that is accepted over any version. */
    long ANY_BASE = -1;

    /** Greatest size of a record that is looked at, in bytes. */
    int MAX_BYTES = 1 << 20;

    /**
     * Writes the record.
     *
     * @return its bytes
     */
    Bytes encode();

    /**
     * A document that somebody wants in force.
     *
     * @param publication unique name of the publication
     * @param base version of the configuration that it was edited from, or {@link #ANY_BASE}
     * @param document the document, as YAML
     */
    record Publication(String publication, long base, String document) implements ConfigRecord {
        @Override
        public Bytes encode() {
            ObjectNode node = Json.MAPPER.createObjectNode();
            node.put("publication", publication).put("base", base).put("document", document);
            return Bytes.utf8(node.toString());
        }
    }

    /**
     * What is in force, said again before the log drops its publication.
     *
     * @param accepted the document in force
     * @param through offset of the last record that its author had read
     */
    record Snapshot(AcceptedDocument accepted, long through) implements ConfigRecord {
        @Override
        public Bytes encode() {
            ObjectNode node = Json.MAPPER.createObjectNode();
            node.put("snapshot", accepted.encode().text()).put("through", through);
            return Bytes.utf8(node.toString());
        }
    }

    /**
     * Reads a record.
     *
     * @param data its bytes
     * @return the record, empty if it is malformed
     */
    static Optional<ConfigRecord> decode(Bytes data) {
        try {
            JsonNode node = Json.MAPPER.readTree(data.text());
            if (node.path("snapshot").isTextual() && node.path("through").canConvertToLong()) {
                long through = node.path("through").asLong();
                return AcceptedDocument.decode(Bytes.utf8(node.path("snapshot").asText()))
                        .map(accepted -> new Snapshot(accepted, through));
            }
            return publication(node);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static Optional<ConfigRecord> publication(JsonNode node) {
        if (!node.path("publication").isTextual()
                || !node.path("base").isIntegralNumber()
                || !node.path("base").canConvertToLong()
                || !node.path("document").isTextual()) {
            return Optional.empty();
        }
        return Optional.of(
                new Publication(
                        node.path("publication").asText(),
                        node.path("base").asLong(),
                        node.path("document").asText()));
    }

    /** Holder of the codec, which an interface cannot keep private. */
    final class Json {
        private static final ObjectMapper MAPPER = new ObjectMapper();

        private Json() {}
    }
}
