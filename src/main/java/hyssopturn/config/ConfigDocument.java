package hyssopturn.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

import hyssopturn.helper.Units;
import hyssopturn.model.AccountId;
import hyssopturn.model.ClassName;
import hyssopturn.model.Config;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads configuration documents. */
public final class ConfigDocument {
    private static final int FORMAT = 1;
    private static final YAMLMapper YAML = new YAMLMapper();

    private final List<Problem> problems = new ArrayList<>();

    private ConfigDocument() {}

    /**
     * Reads and checks a document.
     *
     * @param text the document, as YAML
     * @param version version that the configuration gets
     * @return the configuration
     * @throws ConfigInvalidException with every problem found
     */
    public static Config parse(String text, long version) {
        return new ConfigDocument().read(text, version);
    }

    private Config read(String text, long version) {
        JsonNode root = tree(text);
        if (root.path("format").asInt() != FORMAT) {
            problem("format", "must be " + FORMAT);
        }
        Map<String, ModelSpec> models = new HashMap<>();
        root.path("models").properties().forEach(e -> model(e.getKey(), e.getValue(), models));
        Map<ClassName, WorkClass> classes = new HashMap<>();
        root.path("classes")
                .properties()
                .forEach(e -> workClass(e.getKey(), e.getValue(), models, classes));
        Set<AccountId> revoked = new HashSet<>();
        root.path("revoked").forEach(account -> revoked.add(new AccountId(account.asText())));
        if (!problems.isEmpty()) {
            throw new ConfigInvalidException(problems);
        }
        return new Config(version, models, classes, revoked);
    }

    private static JsonNode tree(String text) {
        try {
            return YAML.readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new ConfigInvalidException(
                    List.of(new Problem(line, "document", e.getOriginalMessage())));
        }
    }

    private void model(String name, JsonNode node, Map<String, ModelSpec> models) {
        String at = "models." + name;
        int layers = node.path("layers").asInt();
        String version = node.path("version").asText();
        long bytes = size(at + ".layer-bytes", node.path("layer-bytes"));
        if (layers < 1) {
            problem(at + ".layers", "must be a whole number from 1");
        }
        if (version.isBlank()) {
            problem(at + ".version", "must be given");
        }
        if (layers > 0 && !version.isBlank()) {
            models.put(name, new ModelSpec(new ModelId(name, version), layers, bytes));
        }
    }

    private void workClass(
            String name,
            JsonNode node,
            Map<String, ModelSpec> models,
            Map<ClassName, WorkClass> classes) {
        String at = "classes." + name;
        double share = node.path("share").asDouble(1);
        if (share <= 0 || share > 1) {
            problem(at + ".share", "must be above 0 and at most 1");
            return;
        }
        Work work;
        Target target;
        if (node.has("model")) {
            String model = node.path("model").asText();
            if (!models.containsKey(model)) {
                problem(at + ".model", "no model " + model + " is declared");
            }
            work = new Work.Generate(model);
            target =
                    new Target.Stream(
                            span(at + ".first-token", node.path("first-token")),
                            span(at + ".between-tokens", node.path("between-tokens")));
        } else if (node.has("service")) {
            work =
                    new Work.Call(
                            node.path("service").asText(),
                            node.path("repeatable").asBoolean(false));
            target = new Target.Answer(span(at + ".answer", node.path("answer")));
        } else {
            problem(at, "must name a model or a service");
            return;
        }
        classes.put(new ClassName(name), new WorkClass(new ClassName(name), work, target, share));
    }

    private Duration span(String field, JsonNode node) {
        return Units.duration(node.asText())
                .filter(Duration::isPositive)
                .orElseGet(
                        () -> {
                            problem(field, "must be a duration such as 250ms");
                            return Duration.ZERO;
                        });
    }

    private long size(String field, JsonNode node) {
        return Units.size(node.asText())
                .orElseGet(
                        () -> {
                            problem(field, "must be a size such as 64MiB");
                            return 0L;
                        });
    }

    private void problem(String field, String message) {
        problems.add(new Problem(0, field, message));
    }
}
