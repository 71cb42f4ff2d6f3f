package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelSpec;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans which engine holds which layers, deterministically and without side effects.
 *
 * <p>Engines are assigned greedily, fastest first, each to the range that needs a holder most:
 * first one with a layer without a holder, then one with a layer whose holders are all in one zone,
 * then the range with the lowest rate relative to its demand. The number of stages is the one whose
 * placement has the best score.
 */
final class Planner {
    /** Ratio of predicted rates above which a better placement justifies moving engines. */
    static final double MIN_GAIN_TO_MOVE = 1.25;

    private static final int MAX_STAGES = 24;
    private static final int SEARCH_ROUNDS = 2;

    private final Links links;

    Planner(Links links) {
        this.links = links;
    }

    /** A placement under construction: the holdings and the layout of each model. */
    private record Draft(Map<InstanceId, Holding> holdings, Map<ModelSpec, Layout> layouts) {}

    /** Plans, keeping the current holdings unless moving engines gains enough. */
    Plan plan(List<Demand> demands, List<Worker> workers) {
        if (demands.isEmpty() || workers.isEmpty()) {
            return Plan.EMPTY;
        }
        Draft keeping = best(demands, workers, true);
        Draft moving = best(demands, workers, false);
        boolean justified = score(moving).justifiesChange(score(keeping), MIN_GAIN_TO_MOVE);
        return plan(justified ? moving : keeping);
    }

    /** Plans as if every engine were empty. */
    Plan fresh(List<Demand> demands, List<Worker> workers) {
        return plan(best(demands, workers, false));
    }

    private static Plan plan(Draft draft) {
        Map<InstanceId, List<Holding>> desired = new HashMap<>();
        draft.holdings().forEach((id, holding) -> desired.put(id, List.of(holding)));
        return new Plan(desired);
    }

    private Score score(Draft draft) {
        return Score.of(draft.layouts().values(), links);
    }

    private Draft best(List<Demand> demands, List<Worker> workers, boolean keep) {
        List<Worker> order = new ArrayList<>(workers);
        order.sort(Comparator.comparingDouble(Worker::layerMillis).thenComparing(Worker::id));
        Map<ModelSpec, Integer> stages = new LinkedHashMap<>();
        demands.forEach(d -> stages.put(d.model(), 1));
        Draft best = draft(demands, order, stages, keep);
        Score bestScore = score(best);
        for (int round = 0; round < (demands.size() == 1 ? 1 : SEARCH_ROUNDS); round++) {
            for (Demand demand : demands) {
                int chosen = stages.get(demand.model());
                for (int count = 1; count <= maxStages(demand); count++) {
                    stages.put(demand.model(), count);
                    Draft draft = draft(demands, order, stages, keep);
                    Score score = score(draft);
                    if (score.compareTo(bestScore) > 0) {
                        best = draft;
                        bestScore = score;
                        chosen = count;
                    }
                }
                stages.put(demand.model(), chosen);
            }
        }
        return best;
    }

    private static int maxStages(Demand demand) {
        return Math.min(MAX_STAGES, demand.model().layers());
    }

    private static Draft draft(
            List<Demand> demands,
            List<Worker> workers,
            Map<ModelSpec, Integer> stages,
            boolean keep) {
        Draft draft = new Draft(new HashMap<>(), new LinkedHashMap<>());
        demands.forEach(d -> draft.layouts().put(d.model(), new Layout(d)));
        List<Worker> free = new ArrayList<>();
        for (Worker worker : workers) {
            Optional<Holding> kept = keep ? kept(demands, worker) : Optional.empty();
            kept.ifPresentOrElse(h -> assign(draft, worker, h), () -> free.add(worker));
        }
        for (Worker worker : free) {
            mostNeeded(draft, worker, stages).ifPresent(h -> assign(draft, worker, h));
        }
        return draft;
    }

    /** Returns the largest holding in a demanded version that an engine already loads or holds. */
    private static Optional<Holding> kept(List<Demand> demands, Worker worker) {
        return largest(demands, worker.loading()).or(() -> largest(demands, worker.held()));
    }

    private static Optional<Holding> largest(List<Demand> demands, List<Holding> holdings) {
        return holdings.stream()
                .filter(h -> demands.stream().anyMatch(d -> matches(d.model(), h)))
                .max(Comparator.comparingInt(h -> h.layers().size()));
    }

    private static boolean matches(ModelSpec model, Holding holding) {
        return model.id().equals(holding.model())
                && model.adapters().equals(holding.adapters())
                && model.whole().contains(holding.layers());
    }

    private static void assign(Draft draft, Worker worker, Holding holding) {
        draft.holdings().put(worker.id(), holding);
        draft.layouts().values().stream()
                .filter(l -> l.demand().model().id().equals(holding.model()))
                .forEach(l -> l.add(worker, holding.layers()));
    }

    /** A range that an engine could hold, with its gain in redundancy and its current rate. */
    private record Choice(ModelSpec model, LayerRange layers, int redundancyGain, double rate) {
        boolean ranksBefore(Choice other) {
            return redundancyGain != other.redundancyGain
                    ? redundancyGain > other.redundancyGain
                    : rate < other.rate;
        }
    }

    private static Optional<Holding> mostNeeded(
            Draft draft, Worker worker, Map<ModelSpec, Integer> stages) {
        Choice best = null;
        for (Layout layout : draft.layouts().values()) {
            ModelSpec model = layout.demand().model();
            int maxLayers = maxLayers(worker, model);
            if (maxLayers == 0) {
                continue;
            }
            for (LayerRange range :
                    new StageGrid(model.layers(), stages.get(model)).ranges(maxLayers)) {
                Choice choice =
                        new Choice(
                                model,
                                range,
                                layout.redundancyGain(range, worker.zone()),
                                layout.minRate(range));
                best = best == null || choice.ranksBefore(best) ? choice : best;
            }
        }
        return Optional.ofNullable(best)
                .map(
                        c ->
                                new Holding(
                                        c.model().id(),
                                        c.layers(),
                                        c.model().adapters(),
                                        Phase.BOTH));
    }

    /** Returns the number of layers of a model that fit the memory of an engine. */
    static int maxLayers(Worker worker, ModelSpec model) {
        if (model.bytesPerLayer() == 0) {
            return model.layers();
        }
        return (int) Math.min(model.layers(), worker.memoryBytes() / model.bytesPerLayer());
    }
}
