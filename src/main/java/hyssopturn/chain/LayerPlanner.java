package hyssopturn.chain;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which layers each engine should hold.
 *
 * <p>Pipes between zones carry far less than the engines of a zone can read, so each zone whose
 * engines have memory for the whole model holds it on its own; the engines of all other zones hold
 * it together. Engines that are left hold layers a second time, so that a chain which loses an
 * engine can be rerouted at once. A plan changes as little as it can: engines keep what they hold
 * unless a layer of their group is held by nobody.
 */
public final class LayerPlanner {
    /** Requests of the usual size that an engine should have memory for beside its layers. */
    private static final int REQUESTS_AT_ONCE = 64;

    /** Fewest requests of the usual size that an engine must have memory for. */
    private static final int LEAST_REQUESTS = 4;

    private static final double RELAX = 0.75;

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
        for (List<Endpoint> group : groups(engines)) {
            plan.addAll(new Group(group).plan());
        }
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
        private final double requests;
        private final int[] copies = new int[spec.layers()];
        private final Map<InstanceId, LayerRange> held = new HashMap<>();

        Group(List<Endpoint> engines) {
            this.engines = engines;
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
            }
        }

        List<Assignment> plan() {
            List<Assignment> plan = new ArrayList<>();
            engines.stream()
                    .filter(e -> !held.containsKey(e.id()) && capacity(e, requests) > 0)
                    .sorted(
                            Comparator.comparingDouble((Endpoint e) -> kind(e).stepFactor())
                                    .thenComparing(e -> -kind(e).memoryMb())
                                    .thenComparing(Endpoint::id))
                    .forEach(e -> plan.add(assign(e)));
            moveIntoHole().ifPresent(plan::add);
            return plan;
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
                double worth = worth(from, size);
                if (worth > bestWorth) {
                    best = from;
                    bestWorth = worth;
                }
            }
            return new LayerRange(best, best + size);
        }

        private double worth(int from, int size) {
            double worth = 0;
            for (int layer = from; layer < from + size; layer++) {
                worth += Math.pow(copies.length, -copies[layer]);
            }
            return worth;
        }

        /** Moves one engine whose layers are all held elsewhere to layers that nobody holds. */
        private Optional<Assignment> moveIntoHole() {
            if (!hasHole()) {
                return Optional.empty();
            }
            return engines.stream()
                    .filter(e -> held.containsKey(e.id()) && spare(held.get(e.id())))
                    .max(Comparator.comparingInt(e -> gain(e)))
                    .filter(e -> gain(e) > 0)
                    .map(this::move);
        }

        private Assignment move(Endpoint engine) {
            count(held.get(engine.id()), -1);
            return assign(engine);
        }

        private int gain(Endpoint engine) {
            LayerRange range = leastHeld(Math.max(1, capacity(engine, requests)));
            int gain = 0;
            for (int layer = range.from(); layer < range.to(); layer++) {
                gain += copies[layer] == 0 ? 1 : 0;
            }
            return gain;
        }

        private boolean hasHole() {
            for (int count : copies) {
                if (count == 0) {
                    return true;
                }
            }
            return false;
        }

        private boolean spare(LayerRange range) {
            for (int layer = range.from(); layer < range.to(); layer++) {
                if (copies[layer] < 2) {
                    return false;
                }
            }
            return true;
        }
    }
}
