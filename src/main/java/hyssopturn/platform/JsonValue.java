package hyssopturn.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads fields of decoded messages and fails with the name of the field that is wrong. */
final class JsonValue {
    private JsonValue() {}

    /** A message does not have the form that its kind needs. */
    static final class MalformedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw new MalformedException(field + " must be a text");
        }
        return value.asText();
    }

    static long whole(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new MalformedException(field + " must be a whole number");
        }
        return value.asLong();
    }

    static long whole(JsonNode node, String field, long fallback) {
        return node.has(field) ? whole(node, field) : fallback;
    }

    static double number(JsonNode node, String field, double fallback) {
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return fallback;
        }
        if (!value.isNumber()) {
            throw new MalformedException(field + " must be a number");
        }
        return value.asDouble();
    }

    static boolean flag(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isMissingNode() && !value.isBoolean()) {
            throw new MalformedException(field + " must be true or false");
        }
        return value.asBoolean();
    }
}
