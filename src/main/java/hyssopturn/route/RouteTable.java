package hyssopturn.route;

import hyssopturn.member.View;
import hyssopturn.member.View.EngineView;
import hyssopturn.model.InstanceId;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.route.LayeredGraph.Holder;
import hyssopturn.route.LayeredGraph.Path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** Costs of all engines and the best chains of each model at one moment. */
final class RouteTable {
    /** Table without engines. */
    static final RouteTable EMPTY = new RouteTable(Map.of(), Map.of());

    private static final EngineCost UNKNOWN = new EngineCost(1e6, 0, 0, 1e6, 1e4);

    /** Greatest cost of a chain that is still taken, as a multiple of the best one's. */
    static final double SLACK = 1.5;

    private static final int CHAINS = 16;
    private static final int LEAST_PROMPT = 16;
    private static final int PROMPT_STEP = 4;

    /** Change of a cost that makes it worth to compute chains anew, as a share of it. */
    private static final double MATERIAL = 0.2;

    private final Map<ModelId, ModelTable> models;
    private final Map<InstanceId, EngineCost> costs;

    private RouteTable(Map<ModelId, ModelTable> models, Map<InstanceId, EngineCost> costs) {
        this.models = models;
        this.costs = costs;
    }

    private record ModelTable(
            List<Holder> holders,
            Map<InstanceId, List<Holder>> byEngine,
            Map<Integer, List<Chain>> chains) {
        static ModelTable of(List<Holder> holders) {
            return new ModelTable(
                    List.copyOf(holders),
                    holders.stream().collect(Collectors.groupingBy(h -> h.engine().id())),
                    new ConcurrentHashMap<>());
        }

        boolean near(List<Holder> others) {
            if (holders.size() != others.size()) {
                return false;
            }
            for (int i = 0; i < others.size(); i++) {
                if (!RouteTable.near(holders.get(i), others.get(i))) {
                    return false;
                }
            }
            return true;
        }

        List<Chain> chains(ModelSpec model, int tokens) {
            return chains.computeIfAbsent(tokens, t -> best(model, t));
        }

        private List<Chain> best(ModelSpec model, int tokens) {
            List<Path> paths = new LayeredGraph(holders, model.whole()).disjoint(tokens, CHAINS);
            return paths.stream()
                    .filter(p -> p.nanos() <= SLACK * paths.getFirst().nanos())
                    .map(p -> new Chain(model.id(), p.stages()))
                    .toList();
        }

        boolean holds(Chain.Stage stage) {
            return byEngine.getOrDefault(stage.engine().id(), List.of()).stream()
                    .anyMatch(
                            h ->
                                    h.engine().equals(stage.engine())
                                            && h.held().contains(stage.layers()));
        }
    }

    private static boolean near(Holder a, Holder b) {
        return a.held().equals(b.held())
                && a.engine().equals(b.engine())
                && near(a.cost().nanos(a.held().size(), 1), b.cost().nanos(b.held().size(), 1))
                && near(
                        a.cost().nanos(a.held().size(), LEAST_PROMPT),
                        b.cost().nanos(b.held().size(), LEAST_PROMPT));
    }

    private static boolean near(double a, double b) {
        return Math.abs(a - b) <= MATERIAL * Math.min(a, b);
    }

    /**
     * Builds the table of a newer view, keeping the chains of models that did not change.
     *
     * @param view engines that may be used
     * @param source predicts costs
     * @return the newer table
     */
    RouteTable refreshed(View view, EngineCosts source) {
        Map<InstanceId, EngineCost> newCosts = HashMap.newHashMap(view.engines().size());
        Map<ModelId, List<Holder>> holders = new HashMap<>();
        for (EngineView engine : view.engines()) {
            EngineCost cost = source.cost(engine);
            newCosts.put(engine.instance().id(), cost);
            for (Holding holding : engine.report().held()) {
                holders.computeIfAbsent(holding.model(), m -> new ArrayList<>())
                        .add(new Holder(engine.instance(), holding.layers(), cost));
            }
        }
        Map<ModelId, ModelTable> newModels = new HashMap<>();
        holders.forEach((model, list) -> newModels.put(model, keepOrMake(model, list)));
        return new RouteTable(newModels, newCosts);
    }

    private ModelTable keepOrMake(ModelId model, List<Holder> holders) {
        ModelTable old = models.get(model);
        return old != null && old.near(holders) ? old : ModelTable.of(holders);
    }

    /**
     * Returns the best chains of a model, none much dearer than the best one.
     *
     * @param model the model
     * @param tokens number of tokens of the step that matters
     * @return chains, cheapest first
     */
    List<Chain> chains(ModelSpec model, int tokens) {
        ModelTable known = models.get(model.id());
        return known == null ? List.of() : known.chains(model, bucket(tokens));
    }

    private static int bucket(int tokens) {
        if (tokens <= 1) {
            return 1;
        }
        int bucket = LEAST_PROMPT;
        while (bucket < tokens) {
            bucket *= PROMPT_STEP;
        }
        return bucket;
    }

    /**
     * Returns who holds layers of a model.
     *
     * @param model the model
     * @param avoid engines to leave out
     * @return holders with their costs
     */
    List<Holder> holders(ModelId model, Set<InstanceId> avoid) {
        ModelTable known = models.get(model);
        if (known == null) {
            return List.of();
        }
        return known.holders().stream().filter(h -> !avoid.contains(h.engine().id())).toList();
    }

    /**
     * Tells whether every stage of a chain is still held by its engine.
     *
     * @param chain the chain
     * @return true if it may be used
     */
    boolean usable(Chain chain) {
        ModelTable known = models.get(chain.model());
        return known != null && chain.stages().stream().allMatch(known::holds);
    }

    /**
     * Predicts the time of a step through a chain.
     *
     * @param chain the chain
     * @param tokens number of tokens
     * @return time in nanoseconds
     */
    double nanos(Chain chain, int tokens) {
        double sum = 0;
        for (Chain.Stage stage : chain.stages()) {
            sum += nanos(stage, tokens);
        }
        return sum;
    }

    /**
     * Predicts the time of a step at a stage.
     *
     * @param stage the stage
     * @param tokens number of tokens
     * @return time in nanoseconds
     */
    double nanos(Chain.Stage stage, int tokens) {
        return costs.getOrDefault(stage.engine().id(), UNKNOWN)
                .nanos(stage.layers().size(), tokens);
    }
}
