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

/** Snapshot of the costs of all engines and the best chains of each model. */
final class RouteTable {
    /** Table without engines. */
    static final RouteTable EMPTY = new RouteTable(Map.of(), Map.of());

    private static final EngineCost UNKNOWN_ENGINE_COST = new EngineCost(1e6, 0, 0, 1e6, 1e4);

    /** Maximum cost of a chain that may be chosen, as a multiple of the cost of the best chain. */
    static final double MAX_COST_RATIO = 1.5;

    private static final int MAX_CHAINS = 16;
    private static final int MIN_PROMPT_TOKENS = 16;
    private static final int PROMPT_BUCKET_FACTOR = 4;

    /** Relative change of a cost above which the chains are recomputed. */
    private static final double MATERIAL_CHANGE = 0.2;

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

        boolean similar(List<Holder> others) {
            if (holders.size() != others.size()) {
                return false;
            }
            for (int i = 0; i < others.size(); i++) {
                if (!RouteTable.similar(holders.get(i), others.get(i))) {
                    return false;
                }
            }
            return true;
        }

        List<Chain> chains(ModelSpec model, int tokens) {
            return chains.computeIfAbsent(tokens, t -> best(model, t));
        }

        private List<Chain> best(ModelSpec model, int tokens) {
            List<Path> paths =
                    new LayeredGraph(holders, model.whole()).disjoint(tokens, MAX_CHAINS);
            return paths.stream()
                    .filter(p -> p.nanos() <= MAX_COST_RATIO * paths.getFirst().nanos())
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

    private static boolean similar(Holder a, Holder b) {
        return a.held().equals(b.held())
                && a.engine().equals(b.engine())
                && similar(a.cost().nanos(a.held().size(), 1), b.cost().nanos(b.held().size(), 1))
                && similar(
                        a.cost().nanos(a.held().size(), MIN_PROMPT_TOKENS),
                        b.cost().nanos(b.held().size(), MIN_PROMPT_TOKENS));
    }

    private static boolean similar(double a, double b) {
        return Math.abs(a - b) <= MATERIAL_CHANGE * Math.min(a, b);
    }

    /**
     * Builds the table of a newer view, reusing the chains of models that did not change.
     *
     * @param view engines that may be used
     * @param costModel cost model of the engines
     * @return the newer table
     */
    RouteTable refreshed(View view, EngineCosts costModel) {
        Map<InstanceId, EngineCost> newCosts = HashMap.newHashMap(view.engines().size());
        Map<ModelId, List<Holder>> holders = new HashMap<>();
        for (EngineView engine : view.engines()) {
            EngineCost cost = costModel.cost(engine);
            newCosts.put(engine.instance().id(), cost);
            for (Holding holding : engine.report().held()) {
                holders.computeIfAbsent(holding.model(), m -> new ArrayList<>())
                        .add(new Holder(engine.instance(), holding.layers(), cost));
            }
        }
        Map<ModelId, ModelTable> newModels = new HashMap<>();
        holders.forEach((model, list) -> newModels.put(model, reuseOrCreate(model, list)));
        return new RouteTable(newModels, newCosts);
    }

    private ModelTable reuseOrCreate(ModelId model, List<Holder> holders) {
        ModelTable old = models.get(model);
        return old != null && old.similar(holders) ? old : ModelTable.of(holders);
    }

    /**
     * Returns the best chains of a model, all of similar cost.
     *
     * @param model the model
     * @param tokens number of tokens of the step by which chains are compared
     * @return chains, cheapest first
     */
    List<Chain> chains(ModelSpec model, int tokens) {
        ModelTable known = models.get(model.id());
        return known == null ? List.of() : known.chains(model, bucket(tokens));
    }

    /** Rounds a number of tokens up, so that chains are computed for few step sizes only. */
    private static int bucket(int tokens) {
        if (tokens <= 1) {
            return 1;
        }
        int bucket = MIN_PROMPT_TOKENS;
        while (bucket < tokens) {
            bucket *= PROMPT_BUCKET_FACTOR;
        }
        return bucket;
    }

    /**
     * Returns the holders of layers of a model.
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
     * Returns whether the engine of every stage of a chain still holds the layers of the stage.
     *
     * @param chain the chain
     * @return true if the chain may be used
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
     * Predicts the time of a step on one stage.
     *
     * @param stage the stage
     * @param tokens number of tokens
     * @return time in nanoseconds
     */
    double nanos(Chain.Stage stage, int tokens) {
        return costs.getOrDefault(stage.engine().id(), UNKNOWN_ENGINE_COST)
                .nanos(stage.layers().size(), tokens);
    }
}
