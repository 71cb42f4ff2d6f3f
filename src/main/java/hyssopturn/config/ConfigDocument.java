package hyssopturn.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;

import hyssopturn.helper.Units;
import hyssopturn.model.AccountId;
import hyssopturn.model.ClassName;
import hyssopturn.model.Config;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads and checks configuration documents of format 1. */
public final class ConfigDocument {
    /** Greatest size of a document, in characters. */
    public static final int MAX_CHARS = 256 << 10;

    private static final String SCHEMA_RESOURCE = "/hyssopturn/config.schema.json";
    private static final Schema SCHEMA = schema();
    private static final double WHOLE_SHARE = 1;

    private final List<Problem> problems = new ArrayList<>();
    private final PositionedYaml yaml;

    private ConfigDocument(PositionedYaml yaml) {
        this.yaml = yaml;
    }

    private static Schema schema() {
        try (InputStream in = ConfigDocument.class.getResourceAsStream(SCHEMA_RESOURCE)) {
            return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(in, InputFormat.JSON);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads and checks a document.
     *
     * @param text the document, as YAML
     * @param version version that the configuration gets
     * @return the configuration
     * @throws ConfigInvalidException with every problem found, each with its line and field
     */
    public static Config parse(String text, long version) {
        if (text.length() > MAX_CHARS) {
            throw new ConfigInvalidException(
                    List.of(
                            new Problem(
                                    0,
                                    "document",
                                    "must have at most " + MAX_CHARS + " characters")));
        }
        return new ConfigDocument(PositionedYaml.read(text)).read(version);
    }

    private Config read(long version) {
        SCHEMA.validate(yaml.root()).forEach(this::schemaProblem);
        yaml.root().path("classes").properties().forEach(e -> work(e.getKey(), e.getValue()));
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparingInt(Problem::line));
            throw new ConfigInvalidException(problems);
        }
        return config(version);
    }

    private void schemaProblem(Error error) {
        String at = error.getInstanceLocation().toString();
        String property = error.getProperty();
        boolean unknown = "additionalProperties".equals(error.getKeyword());
        problem(unknown && property != null ? at + "/" + property : at, message(error));
    }

    /** Says what is allowed where the schema would only show a pattern. */
    private static String message(Error error) {
        if (!"pattern".equals(error.getKeyword())) {
            return error.getMessage();
        }
        if (error.getMessage().contains("us|ms")) {
            return "must be a whole number and one of us, ms, s, m, h, d, such as 250ms";
        }
        if (error.getMessage().contains("KiB")) {
            return "must be a whole number and one of B, KiB, MiB, GiB, such as 64MiB";
        }
        return "must be 1 to 64 letters, digits, dots, dashes or underscores";
    }

    private void work(String name, JsonNode node) {
        String at = "/classes/" + name;
        if (!node.isObject()) {
            return;
        }
        if (node.has("model") == node.has("service")) {
            problem(at, "must name either a model or a service");
        } else if (node.has("model")) {
            foreign(at, node, List.of("answer", "repeatable"), "a service");
            String model = node.path("model").asText();
            if (!yaml.root().path("models").has(model)) {
                problem(at + "/model", "no model " + model + " is declared");
            }
        } else {
            foreign(at, node, List.of("first-token", "between-tokens"), "a model");
        }
    }

    private void foreign(String at, JsonNode node, List<String> fields, String owner) {
        fields.stream()
                .filter(node::has)
                .forEach(f -> problem(at + "/" + f, "is only for classes of " + owner));
    }

    private void problem(String pointer, String message) {
        problems.add(new Problem(yaml.line(pointer), Problem.field(pointer), message));
    }

    private Config config(long version) {
        JsonNode root = yaml.root();
        Map<String, ModelSpec> models = new HashMap<>();
        root.path("models").properties().forEach(e -> models.put(e.getKey(), model(e)));
        Map<ClassName, WorkClass> classes = new HashMap<>();
        root.path("classes").properties().stream()
                .map(e -> workClass(new ClassName(e.getKey()), e.getValue()))
                .forEach(c -> classes.put(c.name(), c));
        Set<AccountId> revoked = new HashSet<>();
        root.path("revoked").forEach(account -> revoked.add(new AccountId(account.asText())));
        return new Config(version, models, classes, revoked);
    }

    private static ModelSpec model(Map.Entry<String, JsonNode> entry) {
        JsonNode node = entry.getValue();
        List<String> adapters = new ArrayList<>();
        node.path("adapters").forEach(a -> adapters.add(a.asText()));
        return new ModelSpec(
                new ModelId(entry.getKey(), node.path("version").asText()),
                node.path("layers").asInt(),
                Units.size(node.path("layer-bytes").asText()).orElseThrow(),
                adapters);
    }

    private static WorkClass workClass(ClassName name, JsonNode node) {
        double share = node.path("share").asDouble(WHOLE_SHARE);
        if (node.has("model")) {
            return new WorkClass(
                    name,
                    new Work.Generate(node.path("model").asText()),
                    new Target.Stream(span(node, "first-token"), span(node, "between-tokens")),
                    share);
        }
        return new WorkClass(
                name,
                new Work.Call(
                        node.path("service").asText(), node.path("repeatable").asBoolean(false)),
                new Target.Answer(span(node, "answer")),
                share);
    }

    private static Duration span(JsonNode node, String field) {
        return Units.duration(node.path(field).asText()).orElseThrow();
    }
}
