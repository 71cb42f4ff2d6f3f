package hyssopturn.chain;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides which layers each engine should hold.
 *
 * <p>Links between zones carry far less than the engines of a zone can process, so each zone whose
 * engines have memory for the whole model holds it on its own; the engines of all other zones hold
 * it together. Remaining engines hold further copies of the layers that have the fewest copies over
 * all zones, so that a chain which loses an engine can be rerouted at once. A plan changes as
 * little as possible: engines keep their layers unless no engine of their group holds a certain
 * layer; then an engine with an adjacent range loads it as well, or an engine whose layers others
 * hold too moves to it.
 */
public final class LayerPlanner {
    /** Requests of mean size that an engine should have memory for beside its layers. */
    private static final int TARGET_REQUESTS = 64;

    /** Fewest requests of mean size that an engine must have memory for. */
    private static final int MIN_REQUESTS = 4;

    /** Factor by which the requests to have memory for are reduced until the model fits. */
    private static final double REQUESTS_REDUCTION = 0.75;

    /** Greatest number of engines whose layers one plan changes, besides engines without layers. */
    private static final int MAX_MOVES_PER_PLAN = 6;

    /** Cost of a change besides the layers to load, in layers. */
    private static final double MOVE_COST_LAYERS = 2;

    /** Weight of the copies over all groups against those of the engine's own group. */
    private static final double OTHER_GROUPS_WEIGHT = 0.0001;

    private final EngineSpec spec;

    /**
     * Creates a planner.
     *
     * @param spec sizes and speeds of the engines
     */
    public LayerPlanner(EngineSpec spec) {
        this.spec = spec;
    }

    /**
     * Layers that an engine should be ordered to hold.
     *
     * @param engine the engine
     * @param range layers that it should hold
     */
    public record Assignment(Endpoint engine, LayerRange range) {}

    /**
     * Plans which layers the engines should hold.
     *
     * @param engines all live engines, with the layers that they hold or are about to hold
     * @return engines that should hold other layers than they do now
     */
    public List<Assignment> plan(List<Endpoint> engines) {
        List<Assignment> plan = new ArrayList<>();
        int[] totalCopies = new int[spec.layers()];
        List<Group> groups =
                groups(engines).stream().map(group -> new Group(group, totalCopies)).toList();
        groups.forEach(group -> plan.addAll(group.plan()));
        return plan;
    }

    private List<List<Endpoint>> groups(List<Endpoint> engines) {
        Map<String, List<Endpoint>> zones = new TreeMap<>();
        engines.stream()
                .filter(e -> spec.kind(e.kind()).isPresent())
                .filter(e -> e.layers().stream().allMatch(spec::hasLayers))
                .sorted(Comparator.comparing(Endpoint::id))
                .forEach(e -> zones.computeIfAbsent(e.zone(), z -> new ArrayList<>()).add(e));
        List<List<Endpoint>> groups = new ArrayList<>();
        List<Endpoint> rest = new ArrayList<>();
        for (List<Endpoint> zone : zones.values()) {
            if (capacity(zone, MIN_REQUESTS) >= spec.layers()) {
                groups.add(zone);
            } else {
                rest.addAll(zone);
            }
        }
        if (!rest.isEmpty()) {
            groups.add(rest);
        }
        return groups;
    }

    private int capacity(List<Endpoint> engines, double requests) {
        return engines.stream().mapToInt(e -> capacity(e, requests)).sum();
    }

    private int capacity(Endpoint engine, double requests) {
        double tokens = requests * spec.meanRequestTokens();
        return spec.layersThatFit(kind(engine), tokens);
    }

    private EngineKind kind(Endpoint engine) {
        return spec.kind(engine.kind()).orElseThrow();
    }

    /** Engines that hold the whole model together. */
    private final class Group {
        private final List<Endpoint> engines;
        private final int[] totalCopies;
        private final double requests;
        private final int[] copies = new int[spec.layers()];
        private final Map<InstanceId, LayerRange> held = new HashMap<>();

        Group(List<Endpoint> engines, int[] totalCopies) {
            this.engines = engines;
            this.totalCopies = totalCopies;
            requests = requests();
            for (Endpoint engine : engines) {
                engine.layers().ifPresent(range -> hold(engine, range));
            }
        }

        private double requests() {
            double requests = TARGET_REQUESTS;
            while (requests > MIN_REQUESTS && capacity(engines, requests) < spec.layers()) {
                requests *= REQUESTS_REDUCTION;
            }
            return requests;
        }

        private void hold(Endpoint engine, LayerRange range) {
            count(range, 1);
            held.put(engine.id(), range);
        }

        private void count(LayerRange range, int change) {
            for (int layer = range.from(); layer < Math.min(range.to(), copies.length); layer++) {
                copies[layer] += change;
                totalCopies[layer] += change;
            }
        }

        List<Assignment> plan() {
            Map<InstanceId, Assignment> plan = new LinkedHashMap<>();
            engines.stream()
                    .filter(e -> !held.containsKey(e.id()) && capacity(e, requests) > 0)
                    .sorted(
                            Comparator.comparingDouble((Endpoint e) -> -kind(e).memoryMb())
                                    .thenComparing(Endpoint::id))
                    .forEach(e -> plan.put(e.id(), assign(e)));
            for (int moves = 0; moves < MAX_MOVES_PER_PLAN && hasUncoveredLayer(); moves++) {
                Optional<Move> move = bestMove(plan.keySet());
                if (move.isEmpty()) {
                    break;
                }
                Assignment assignment = move.get().apply(this);
                plan.put(assignment.engine().id(), assignment);
            }
            return List.copyOf(plan.values());
        }

        private Assignment assign(Endpoint engine) {
            LayerRange range = leastHeldRange(capacity(engine, requests));
            hold(engine, range);
            return new Assignment(engine, range);
        }

        /**
         * Returns the range with the fewest copies; layers without a copy come first, and of these
         * the lowest.
         */
        private LayerRange leastHeldRange(int size) {
            int best = 0;
            double bestValue = -1;
            for (int from = 0; from + size <= copies.length; from++) {
                double value = value(from, from + size);
                if (value > bestValue) {
                    best = from;
                    bestValue = value;
                }
            }
            return new LayerRange(best, best + size);
        }

        private double value(int from, int to) {
            double value = 0;
            for (int layer = from; layer < to; layer++) {
                value += Math.pow(copies.length, -copies[layer]);
                value += OTHER_GROUPS_WEIGHT * Math.pow(2, -totalCopies[layer]);
            }
            return value;
        }

        /**
         * Returns the change that covers the most uncovered layers for the fewest layers to load.
         */
        private Optional<Move> bestMove(Set<InstanceId> planned) {
            return engines.stream()
                    .filter(e -> held.containsKey(e.id()) && !planned.contains(e.id()))
                    .flatMap(e -> move(e).stream())
                    .max(
                            Comparator.comparingDouble(Move::score)
                                    .thenComparing(m -> -kind(m.engine).memoryMb())
                                    .thenComparing(m -> m.engine.id()));
        }

        /**
         * Returns the best other range for an engine, which keeps the layers that only it holds.
         */
        private Optional<Move> move(Endpoint engine) {
            LayerRange current = held.get(engine.id());
            int size = Math.max(current.size(), capacity(engine, requests));
            Optional<LayerRange> soleLayers = soleLayers(current);
            Move best = null;
            for (int from = 0; from + size <= copies.length; from++) {
                LayerRange range = new LayerRange(from, from + size);
                if (soleLayers.isPresent() && !range.contains(soleLayers.get())) {
                    continue;
                }
                Move move =
                        new Move(
                                engine,
                                range,
                                uncoveredLayers(range),
                                layersToLoad(current, range));
                if (move.newlyCovered > 0 && (best == null || move.score() > best.score())) {
                    best = move;
                }
            }
            return Optional.ofNullable(best);
        }

        private Optional<LayerRange> soleLayers(LayerRange range) {
            int first = -1;
            int last = -1;
            for (int layer = range.from(); layer < range.to(); layer++) {
                if (copies[layer] == 1) {
                    first = first < 0 ? layer : first;
                    last = layer;
                }
            }
            return first < 0 ? Optional.empty() : Optional.of(new LayerRange(first, last + 1));
        }

        private int uncoveredLayers(LayerRange range) {
            int uncoveredLayers = 0;
            for (int layer = range.from(); layer < range.to(); layer++) {
                uncoveredLayers += copies[layer] == 0 ? 1 : 0;
            }
            return uncoveredLayers;
        }

        private static int layersToLoad(LayerRange current, LayerRange range) {
            int kept = Math.min(current.to(), range.to()) - Math.max(current.from(), range.from());
            return range.size() - Math.max(0, kept);
        }

        private boolean hasUncoveredLayer() {
            return uncoveredLayers(new LayerRange(0, copies.length)) > 0;
        }
    }

    /**
     * A new range for an engine, the uncovered layers in it, and the layers that the engine must
     * load.
     */
    private record Move(Endpoint engine, LayerRange range, int newlyCovered, int toLoad) {
        double score() {
            return (double) newlyCovered / (toLoad + MOVE_COST_LAYERS);
        }

        Assignment apply(Group group) {
            group.count(group.held.get(engine.id()), -1);
            group.hold(engine, range);
            return new Assignment(engine, range);
        }
    }
}
