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
 * <p>Pipes between zones carry far less than the engines of a zone can read, so each zone whose
 * engines have memory for the whole model holds it on its own; the engines of all other zones hold
 * it together. Engines that are left hold a second time what fewest engines of all zones hold, so
 * that a chain which loses an engine can be rerouted at once. A plan changes as little as it can:
 * engines keep what they hold unless a layer of their group is held by nobody; then neighbours take
 * it as well, or an engine moves whose layers others hold too.
 */
public final class LayerPlanner {
    /** Requests of the usual size that an engine should have memory for beside its layers. */
    private static final int REQUESTS_AT_ONCE = 64;

    /** Fewest requests of the usual size that an engine must have memory for. */
    private static final int LEAST_REQUESTS = 4;

    private static final double RELAX = 0.75;

    /** Engines that change what they hold in one plan, besides those that hold nothing. */
    private static final int MOVES_AT_ONCE = 6;

    /** What a change costs besides its loads, in layers. */
    private static final double MOVE_COST = 2;

    /** Weight of copies that other groups hold against those of the own group. */
    private static final double OTHERS_WEIGHT = 0.0001;

    private final EngineSpec spec;

    /**
     * Creates a planner.
     *
     * @param spec how the engines behave
     */
    public LayerPlanner(EngineSpec spec) {
        this.spec = spec;
    }

    /**
     * An order that an engine should get.
     *
     * @param engine the engine
     * @param range layers that it should hold
     */
    public record Assignment(Endpoint engine, LayerRange range) {}

    /**
     * Plans the layers of engines.
     *
     * @param engines all engines that live, with the layers that they hold or are about to hold
     * @return engines that should hold other layers than they do
     */
    public List<Assignment> plan(List<Endpoint> engines) {
        List<Assignment> plan = new ArrayList<>();
        int[] everywhere = new int[spec.layers()];
        List<Group> groups =
                groups(engines).stream().map(group -> new Group(group, everywhere)).toList();
        groups.forEach(group -> plan.addAll(group.plan()));
        return plan;
    }

    private List<List<Endpoint>> groups(List<Endpoint> engines) {
        Map<String, List<Endpoint>> zones = new TreeMap<>();
        engines.stream()
                .filter(e -> spec.kind(e.kind()).isPresent())
                .sorted(Comparator.comparing(Endpoint::id))
                .forEach(e -> zones.computeIfAbsent(e.zone(), z -> new ArrayList<>()).add(e));
        List<List<Endpoint>> groups = new ArrayList<>();
        List<Endpoint> rest = new ArrayList<>();
        for (List<Endpoint> zone : zones.values()) {
            if (capacity(zone, LEAST_REQUESTS) >= spec.layers()) {
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
        double tokens = requests * (spec.usualPromptTokens() + spec.usualAnswerTokens());
        return spec.layersBeside(kind(engine), tokens);
    }

    private EngineKind kind(Endpoint engine) {
        return spec.kind(engine.kind()).orElseThrow();
    }

    /** Engines that hold the whole model together. */
    private final class Group {
        private final List<Endpoint> engines;
        private final int[] everywhere;
        private final double requests;
        private final int[] copies = new int[spec.layers()];
        private final Map<InstanceId, LayerRange> held = new HashMap<>();

        Group(List<Endpoint> engines, int[] everywhere) {
            this.engines = engines;
            this.everywhere = everywhere;
            requests = requests();
            for (Endpoint engine : engines) {
                engine.layers().ifPresent(range -> hold(engine, range));
            }
        }

        private double requests() {
            double requests = REQUESTS_AT_ONCE;
            while (requests > LEAST_REQUESTS && capacity(engines, requests) < spec.layers()) {
                requests *= RELAX;
            }
            return requests;
        }

        private void hold(Endpoint engine, LayerRange range) {
            count(range, 1);
            held.put(engine.id(), range);
        }

        private void count(LayerRange range, int by) {
            for (int layer = range.from(); layer < Math.min(range.to(), copies.length); layer++) {
                copies[layer] += by;
                everywhere[layer] += by;
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
            for (int moves = 0; moves < MOVES_AT_ONCE && hasHole(); moves++) {
                Optional<Move> move = bestMove(plan.keySet());
                if (move.isEmpty()) {
                    break;
                }
                Assignment done = move.get().apply(this);
                plan.put(done.engine().id(), done);
            }
            return List.copyOf(plan.values());
        }

        private Assignment assign(Endpoint engine) {
            LayerRange range = leastHeld(capacity(engine, requests));
            hold(engine, range);
            return new Assignment(engine, range);
        }

        /** Layers that nobody holds come first, and of these the lowest. */
        private LayerRange leastHeld(int size) {
            int best = 0;
            double bestWorth = -1;
            for (int from = 0; from + size <= copies.length; from++) {
                double worth = worth(from, from + size);
                if (worth > bestWorth) {
                    best = from;
                    bestWorth = worth;
                }
            }
            return new LayerRange(best, best + size);
        }

        private double worth(int from, int to) {
            double worth = 0;
            for (int layer = from; layer < to; layer++) {
                worth += Math.pow(copies.length, -copies[layer]);
                worth += OTHERS_WEIGHT * Math.pow(2, -everywhere[layer]);
            }
            return worth;
        }

        /** The change that gives most layers back for the least that has to be loaded. */
        private Optional<Move> bestMove(Set<InstanceId> settled) {
            return engines.stream()
                    .filter(e -> held.containsKey(e.id()) && !settled.contains(e.id()))
                    .flatMap(e -> move(e).stream())
                    .max(
                            Comparator.comparingDouble(Move::score)
                                    .thenComparing(m -> -kind(m.engine).memoryMb())
                                    .thenComparing(m -> m.engine.id()));
        }

        /** The best range for an engine that keeps the layers which only it holds. */
        private Optional<Move> move(Endpoint engine) {
            LayerRange now = held.get(engine.id());
            int size = Math.max(now.size(), capacity(engine, requests));
            Optional<LayerRange> needed = needed(now);
            Move best = null;
            for (int from = 0; from + size <= copies.length; from++) {
                LayerRange range = new LayerRange(from, from + size);
                if (needed.isPresent() && !range.contains(needed.get())) {
                    continue;
                }
                Move move = new Move(engine, range, holes(range), fresh(now, range));
                if (move.gain > 0 && (best == null || move.score() > best.score())) {
                    best = move;
                }
            }
            return Optional.ofNullable(best);
        }

        private Optional<LayerRange> needed(LayerRange range) {
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

        private int holes(LayerRange range) {
            int holes = 0;
            for (int layer = range.from(); layer < range.to(); layer++) {
                holes += copies[layer] == 0 ? 1 : 0;
            }
            return holes;
        }

        private static int fresh(LayerRange now, LayerRange range) {
            int kept = Math.min(now.to(), range.to()) - Math.max(now.from(), range.from());
            return range.size() - Math.max(0, kept);
        }

        private boolean hasHole() {
            return holes(new LayerRange(0, copies.length)) > 0;
        }
    }

    /** Another range for an engine: how many layers it gives back, and how many it must load. */
    private record Move(Endpoint engine, LayerRange range, int gain, int fresh) {
        double score() {
            return (double) gain / (fresh + MOVE_COST);
        }

        Assignment apply(Group group) {
            group.count(group.held.get(engine.id()), -1);
            group.hold(engine, range);
            return new Assignment(engine, range);
        }
    }
}
