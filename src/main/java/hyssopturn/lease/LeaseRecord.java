package hyssopturn.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.util.Optional;

/**
 * A try to take or renew the lease.
 *
 * @param holder instance that tries
 * @param nonce number that tells this try from all others
 * @param through offset of the last record that its author had read
 */
record LeaseRecord(InstanceId holder, long nonce, long through) {
    private static final ObjectMapper JSON = new ObjectMapper();

    Bytes encode() {
        ObjectNode node = JSON.createObjectNode();
        node.put("holder", holder.value()).put("nonce", nonce).put("through", through);
        return Bytes.utf8(node.toString());
    }

    static Optional<LeaseRecord> decode(Bytes data) {
        try {
            JsonNode node = JSON.readTree(data.text());
            String holder = node.path("holder").asText();
            if (holder.isBlank()
                    || !node.path("nonce").canConvertToLong()
                    || !node.path("through").canConvertToLong()) {
                return Optional.empty();
            }
            return Optional.of(
                    new LeaseRecord(
                            new InstanceId(holder),
                            node.path("nonce").asLong(),
                            node.path("through").asLong()));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
