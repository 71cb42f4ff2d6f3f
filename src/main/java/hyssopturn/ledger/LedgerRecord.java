package hyssopturn.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import hyssopturn.model.AccountId;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.Outcome;

import java.util.Optional;

/** A record of the ledger's stream. */
sealed interface LedgerRecord {
    ObjectMapper JSON = new ObjectMapper();

    CallKey key();

    String claim();

    record Claimed(CallKey key, String claim, int bodyHash) implements LedgerRecord {}

    record Settled(CallKey key, String claim, Outcome outcome, Bytes body)
            implements LedgerRecord {}

    record Released(CallKey key, String claim) implements LedgerRecord {}

    static Bytes encode(LedgerRecord record) {
        ObjectNode node = JSON.createObjectNode();
        node.put("account", record.key().account().value())
                .put("class", record.key().workClass().value())
                .put("key", record.key().key())
                .put("claim", record.claim());
        switch (record) {
            case Claimed claimed -> node.put("type", "claim").put("hash", claimed.bodyHash());
            case Settled settled ->
                    node.put("type", "outcome")
                            .put("outcome", settled.outcome().name())
                            .put("body", settled.body().text());
            case Released released -> node.put("type", "release");
        }
        return Bytes.utf8(node.toString());
    }

    static Optional<LedgerRecord> decode(Bytes data) {
        try {
            JsonNode node = JSON.readTree(data.text());
            CallKey key =
                    new CallKey(
                            new AccountId(node.path("account").asText()),
                            new ClassName(node.path("class").asText()),
                            node.path("key").asText());
            String claim = node.path("claim").asText();
            return switch (node.path("type").asText()) {
                case "claim" -> Optional.of(new Claimed(key, claim, node.path("hash").asInt()));
                case "outcome" ->
                        Optional.of(
                                new Settled(
                                        key,
                                        claim,
                                        Outcome.valueOf(node.path("outcome").asText()),
                                        Bytes.utf8(node.path("body").asText())));
                case "release" -> Optional.of(new Released(key, claim));
                default -> Optional.empty();
            };
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
