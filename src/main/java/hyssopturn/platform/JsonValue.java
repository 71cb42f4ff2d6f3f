package hyssopturn.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads fields of JSON objects; an error message names the malformed field. */
final class JsonValue {
    private JsonValue() {}

    /** Thrown if a JSON message lacks a required field or has a field of the wrong type. */
    static final class MalformedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        /** Messages may quote what a writer of the log has sent, of any length. */
        private static final int MAX_MESSAGE_LENGTH = 500;

        MalformedException(String message) {
            super(message.substring(0, Math.min(message.length(), MAX_MESSAGE_LENGTH)));
        }
    }

    static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw new MalformedException(field + " must be a string that is not blank");
        }
        return value.asText();
    }

    static long integer(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new MalformedException(field + " must be an integer");
        }
        return value.asLong();
    }

    static long integer(JsonNode node, String field, long defaultValue) {
        return node.has(field) ? integer(node, field) : defaultValue;
    }

    static double number(JsonNode node, String field, double defaultValue) {
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber()) {
            throw new MalformedException(field + " must be a number");
        }
        return value.asDouble();
    }

    static boolean bool(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isMissingNode() && !value.isBoolean()) {
            throw new MalformedException(field + " must be true or false");
        }
        return value.asBoolean();
    }
}
