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
 * Plans which engine holds which layers; pure, and the same for the same input.
 *
 * <p>Engines are given out one by one, the quickest first, each to the range that needs it most:
 * one without a holder, then one whose holders stand in one zone, then the one with the lowest rate
 * for its demand. The number of stages is the one whose placement scores best.
 */
final class Planner {
    /** Gain in the predicted rate above which engines that are well placed are moved. */
    static final double GAIN_TO_MOVE = 1.25;

    private static final int MAX_STAGES = 24;
    private static final int ROUNDS = 2;

    private final Links links;

    Planner(Links links) {
        this.links = links;
    }

    /** A placement and its parts while it is built. */
    private record Draft(Map<InstanceId, Holding> holdings, Map<ModelSpec, Layout> layouts) {}

    /** Plans, leaving engines where they are unless moving them gains enough. */
    Plan plan(List<Demand> demands, List<Worker> workers) {
        if (demands.isEmpty() || workers.isEmpty()) {
            return Plan.EMPTY;
        }
        Draft stay = best(demands, workers, true);
        Draft move = best(demands, workers, false);
        boolean worth = score(move).worthLeaving(score(stay), GAIN_TO_MOVE);
        return plan(worth ? move : stay);
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
        for (int round = 0; round < (demands.size() == 1 ? 1 : ROUNDS); round++) {
            for (Demand demand : demands) {
                int chosen = stages.get(demand.model());
                for (int count = 1; count <= limit(demand); count++) {
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

    private static int limit(Demand demand) {
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
            kept.ifPresentOrElse(h -> give(draft, worker, h), () -> free.add(worker));
        }
        for (Worker worker : free) {
            neediest(draft, worker, stages).ifPresent(h -> give(draft, worker, h));
        }
        return draft;
    }

    /** Returns what an engine holds or loads already of a model in the version wanted. */
    private static Optional<Holding> kept(List<Demand> demands, Worker worker) {
        return largest(demands, worker.loading()).or(() -> largest(demands, worker.held()));
    }

    private static Optional<Holding> largest(List<Demand> demands, List<Holding> holdings) {
        return holdings.stream()
                .filter(h -> demands.stream().anyMatch(d -> wanted(d.model(), h)))
                .max(Comparator.comparingInt(h -> h.layers().size()));
    }

    private static boolean wanted(ModelSpec model, Holding holding) {
        return model.id().equals(holding.model())
                && model.adapters().equals(holding.adapters())
                && model.whole().contains(holding.layers());
    }

    private static void give(Draft draft, Worker worker, Holding holding) {
        draft.holdings().put(worker.id(), holding);
        draft.layouts().values().stream()
                .filter(l -> l.demand().model().id().equals(holding.model()))
                .forEach(l -> l.add(worker, holding.layers()));
    }

    /** A range that an engine could hold and how much it is needed. */
    private record Choice(ModelSpec model, LayerRange layers, int help, double rate) {
        boolean before(Choice other) {
            return help != other.help ? help > other.help : rate < other.rate;
        }
    }

    private static Optional<Holding> neediest(
            Draft draft, Worker worker, Map<ModelSpec, Integer> stages) {
        Choice best = null;
        for (Layout layout : draft.layouts().values()) {
            ModelSpec model = layout.demand().model();
            int room = room(worker, model);
            if (room == 0) {
                continue;
            }
            for (LayerRange window : new Grid(model.layers(), stages.get(model)).windows(room)) {
                Choice choice =
                        new Choice(
                                model,
                                window,
                                layout.help(window, worker.zone()),
                                layout.lowest(window));
                best = best == null || choice.before(best) ? choice : best;
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

    static int room(Worker worker, ModelSpec model) {
        if (model.bytesPerLayer() == 0) {
            return model.layers();
        }
        return (int) Math.min(model.layers(), worker.memoryBytes() / model.bytesPerLayer());
    }
}
