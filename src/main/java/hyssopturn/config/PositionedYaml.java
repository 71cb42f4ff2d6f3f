package hyssopturn.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A YAML document as a tree whose fields know their lines. */
final class PositionedYaml {
    private static final YAMLFactory YAML = new YAMLFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final int MAX_DEPTH = 32;

    private final Map<String, Integer> lines = new HashMap<>();
    private final JsonNode root;

    private PositionedYaml(YAMLParser parser) throws IOException {
        parser.nextToken();
        lines.put("", 1);
        root = value(parser, "", 0);
        if (parser.nextToken() != null) {
            throw invalid(parser, "", "only one document is allowed");
        }
    }

    /** Reads a text; fails with every problem that keeps it from being a tree. */
    static PositionedYaml read(String text) {
        try (YAMLParser parser = YAML.createParser(text)) {
            return new PositionedYaml(parser);
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
            throw new ConfigInvalidException(
                    List.of(new Problem(line, "document", e.getOriginalMessage())));
        } catch (IOException e) {
            throw new ConfigInvalidException(
                    List.of(new Problem(0, "document", "cannot be read: " + e.getMessage())));
        }
    }

    JsonNode root() {
        return root;
    }

    /** Returns the line of a field, or of the nearest field around it. */
    int line(String pointer) {
        String at = pointer;
        while (!lines.containsKey(at)) {
            at = at.substring(0, Math.max(0, at.lastIndexOf('/')));
        }
        return lines.get(at);
    }

    private JsonNode value(YAMLParser parser, String at, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw invalid(parser, at, "must not be nested deeper than " + MAX_DEPTH);
        }
        JsonToken token = parser.currentToken();
        if (token == null) {
            return NODES.nullNode();
        }
        if (parser.isCurrentAlias()) {
            throw invalid(parser, at, "aliases are not allowed");
        }
        return switch (token) {
            case START_OBJECT -> object(parser, at, depth);
            case START_ARRAY -> array(parser, at, depth);
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_NUMBER_INT -> NODES.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDecimalValue());
            default -> NODES.textNode(parser.getText());
        };
    }

    private ObjectNode object(YAMLParser parser, String at, int depth) throws IOException {
        ObjectNode node = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String child = at + "/" + name;
            if (node.has(name)) {
                throw invalid(parser, child, "is given twice");
            }
            lines.put(child, line(parser));
            parser.nextToken();
            node.set(name, value(parser, child, depth + 1));
        }
        return node;
    }

    private ArrayNode array(YAMLParser parser, String at, int depth) throws IOException {
        ArrayNode node = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String child = at + "/" + node.size();
            lines.put(child, line(parser));
            node.add(value(parser, child, depth + 1));
        }
        return node;
    }

    private static ConfigInvalidException invalid(YAMLParser parser, String at, String message) {
        return new ConfigInvalidException(
                List.of(new Problem(line(parser), Problem.field(at), message)));
    }

    private static int line(JsonParser parser) {
        return parser.currentTokenLocation().getLineNr();
    }
}
