package hyssopturn.cli;

import hyssopturn.port.Instance;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;

/** Shows nodes, endpoints, the configuration in force and calls in doubt. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows nodes, endpoints, the configuration in force and calls in doubt.",
        footer = {"", "Exit code 1 if a node gives no answer or nodes differ in configuration."})
final class StatusCommand implements Callable<Integer> {
    @Option(names = "--json", description = "print JSON")
    private boolean json;

    private CommandSpec spec;

    @Spec
    void spec(CommandSpec value) {
        spec = value;
        Settings.declare(value, Nodes.SETTINGS);
    }

    @Override
    public Integer call() {
        Settings settings = Settings.read(spec, Nodes.SETTINGS);
        try (Nodes nodes = new Nodes(settings)) {
            List<Instance> instances = nodes.instances();
            List<Nodes.Answer> answers = nodes.ask("/v1/status");
            Map<String, JsonObject> states = new TreeMap<>();
            answers.forEach(
                    a ->
                            states.put(
                                    a.node().id().value(),
                                    a.body().map(JsonObject::new).orElseGet(JsonObject::new)));
            if (json) {
                JsonObject all = new JsonObject();
                states.forEach(all::put);
                spec.commandLine().getOut().println(all.encodePrettily());
            } else {
                print(instances, states);
            }
            return healthy(states) ? ExitCodes.OK : ExitCodes.FAILED;
        }
    }

    private static boolean healthy(Map<String, JsonObject> states) {
        long versions = states.values().stream().map(s -> s.getLong("config")).distinct().count();
        return versions == 1 && states.values().stream().noneMatch(JsonObject::isEmpty);
    }

    private void print(List<Instance> instances, Map<String, JsonObject> states) {
        PrintWriter out = spec.commandLine().getOut();
        states.forEach((node, state) -> out.println(node(node, state)));
        for (Instance instance : instances) {
            if (!(instance.role() instanceof Instance.Role.Node)) {
                out.println(endpoint(instance, states));
            }
        }
        attainment(states).forEach(out::println);
        inDoubt(states).forEach(out::println);
    }

    private static String node(String id, JsonObject state) {
        if (state.isEmpty()) {
            return "node %-14s no answer".formatted(id);
        }
        return "node %-14s ready=%s config=%d running=%d"
                .formatted(
                        id,
                        state.getBoolean("ready"),
                        state.getLong("config"),
                        state.getInteger("running"));
    }

    private static String endpoint(Instance instance, Map<String, JsonObject> states) {
        long seen =
                states.values().stream()
                        .filter(s -> has(s, "engines", instance) || has(s, "services", instance))
                        .count();
        return "endpoint %-14s %s zone=%s usable at %d of %d nodes"
                .formatted(
                        instance.id(),
                        instance.leaving() ? "leaving" : "live",
                        instance.zone(),
                        seen,
                        states.size());
    }

    private static boolean has(JsonObject state, String field, Instance instance) {
        return state.getJsonArray(field, new JsonArray()).contains(instance.id().value());
    }

    private static List<String> attainment(Map<String, JsonObject> states) {
        Map<String, long[]> sums = new TreeMap<>();
        for (JsonObject state : states.values()) {
            JsonObject classes = state.getJsonObject("classes", new JsonObject());
            for (String name : classes.fieldNames()) {
                JsonObject counts = classes.getJsonObject(name);
                long[] sum = sums.computeIfAbsent(name, n -> new long[2]);
                sum[0] += counts.getLong("within");
                sum[1] += counts.getLong("total");
            }
        }
        return sums.entrySet().stream()
                .map(
                        e ->
                                "class %-20s %.1f%% of %d within target"
                                        .formatted(
                                                e.getKey(),
                                                100.0 * e.getValue()[0] / e.getValue()[1],
                                                e.getValue()[1]))
                .toList();
    }

    private static List<String> inDoubt(Map<String, JsonObject> states) {
        return states.values().stream()
                .flatMap(s -> s.getJsonArray("inDoubt", new JsonArray()).stream())
                .map(JsonObject.class::cast)
                .map(StatusCommand::doubt)
                .distinct()
                .sorted()
                .collect(Collectors.toList());
    }

    private static String doubt(JsonObject call) {
        return "in doubt: account=%s class=%s key=%s: ask the service, see docs/OUTAGES.md"
                .formatted(
                        call.getString("account"), call.getString("class"), call.getString("key"));
    }
}
