package hyssopturn.chain;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Engines that hold the whole model together, and the layers that each of them should hold.
 *
 * <p>Each engine has memory for a target number of requests beside its layers. Engines that are not
 * needed for a whole copy hold further copies of the layers that have the fewest over all groups,
 * so that a chain which loses an engine can be rerouted at once. Engines keep their layers unless
 * the group lacks a layer, or has memory for few requests at one and could have it for clearly
 * more; then {@link CoverSearch} finds the changes that load the fewest layers.
 */
final class EngineGroup {
    /** Requests of mean size that an engine should have memory for beside its layers. */
    private static final int TARGET_REQUESTS = 64;

    /** Fewest requests of mean size that an engine must have memory for. */
    private static final int MIN_REQUESTS = 4;

    /** Fewest requests of mean size for which engines that hold layers are changed. */
    private static final int MIN_MOVE_REQUESTS = 16;

    /** Factor between numbers of requests to have memory for that are compared. */
    private static final double REQUESTS_STEP = 0.75;

    /** Time over which the requests served are compared before engines are changed. */
    private static final double PERIOD_SECONDS = 10;

    /** Least factor by which a change must increase the requests served. */
    private static final double MIN_GAIN = 1.5;

    /** Assumed number of engines that can load at once without slowing each other down. */
    private static final int PARALLEL_LOADS = 3;

    /** Weight of the copies over all groups against those of the engine's own group. */
    private static final double OTHER_GROUPS_WEIGHT = 0.0001;

    private static final double MILLIS = 1_000;

    private final EngineSpec spec;
    private final List<Endpoint> engines;
    private final boolean movable;
    private final Map<InstanceId, Integer> loading;
    private final int[] totalCopies;
    private final double requests;
    private final int[] copies;
    private final Map<InstanceId, LayerRange> held = new HashMap<>();

    /**
     * Creates a group.
     *
     * @param spec sizes and speeds of the engines
     * @param engines live engines of known kinds, with the layers that they hold or are to hold
     * @param movable whether engines that hold layers may be given others
     * @param loading engines that carry out an order, with the layers that they still load
     * @param totalCopies copies of each layer over all groups, to which those of this one are added
     */
    EngineGroup(
            EngineSpec spec,
            List<Endpoint> engines,
            boolean movable,
            Map<InstanceId, Integer> loading,
            int[] totalCopies) {
        this.spec = spec;
        this.engines = engines;
        this.movable = movable;
        this.loading = loading;
        this.totalCopies = totalCopies;
        copies = new int[spec.layers()];
        requests = requests();
        for (Endpoint engine : engines) {
            engine.layers().ifPresent(range -> hold(engine, range));
        }
    }

    /** Returns whether engines have memory for the model and for a few requests beside it. */
    static boolean canHoldModel(EngineSpec spec, List<Endpoint> engines) {
        return capacity(spec, engines, MIN_REQUESTS) >= spec.layers();
    }

    private static int capacity(EngineSpec spec, List<Endpoint> engines, double requests) {
        return engines.stream().mapToInt(e -> capacity(spec, e, requests)).sum();
    }

    /** Returns the most layers that leave an engine memory for a number of requests. */
    static int capacity(EngineSpec spec, Endpoint engine, double requests) {
        return spec.kind(engine.kind())
                .map(kind -> spec.layersThatFit(kind, requests * spec.meanRequestTokens()))
                .orElse(0);
    }

    private int capacity(Endpoint engine) {
        return capacity(spec, engine, requests);
    }

    /** Returns the requests that each engine should have memory for, fewer if memory is short. */
    private double requests() {
        double most = TARGET_REQUESTS;
        while (most > MIN_REQUESTS && capacity(spec, engines, most) < spec.layers()) {
            most *= REQUESTS_STEP;
        }
        return most;
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

    /** Returns the changes of engines that hold layers, and of others that complete the model. */
    List<LayerPlanner.Assignment> repair() {
        if (!mayMove()) {
            return List.of();
        }
        boolean whole = room() > 0;
        SafeStep step = new SafeStep(copies);
        List<LayerPlanner.Assignment> plan = new ArrayList<>();
        cover().ranges()
                .forEach(
                        (engine, range) -> {
                            Optional<LayerRange> next =
                                    whole ? step(step, engine, range) : Optional.of(range);
                            next.ifPresent(r -> plan.add(change(engine, r, !whole)));
                        });
        return plan;
    }

    private Optional<LayerRange> step(SafeStep step, Endpoint engine, LayerRange wanted) {
        double roomKept = Math.max(MIN_REQUESTS, room() / 2);
        return step.towards(wanted, held.get(engine.id()), capacity(spec, engine, roomKept));
    }

    /** Returns the layers of engines that hold none, and are not needed for a repair. */
    List<LayerPlanner.Assignment> fill() {
        return engines.stream()
                .filter(e -> !held.containsKey(e.id()) && capacity(e) > 0)
                .sorted(
                        Comparator.comparingDouble((Endpoint e) -> -memoryMb(e))
                                .thenComparing(Endpoint::id))
                .map(this::assign)
                .toList();
    }

    /** Returns whether the engines hold every layer. */
    boolean whole() {
        return Arrays.stream(copies).noneMatch(c -> c == 0);
    }

    /**
     * Returns whether engines that hold layers may be changed. If the group has all layers, orders
     * that are under way must end first: layers that are given up must be ready elsewhere.
     */
    private boolean mayMove() {
        boolean idle = engines.stream().noneMatch(e -> loading.containsKey(e.id()));
        return movable && !held.isEmpty() && (!whole() || idle);
    }

    private double memoryMb(Endpoint engine) {
        return spec.kind(engine.kind()).map(EngineKind::memoryMb).orElse(0.0);
    }

    /**
     * Returns the changes by which the engines serve most requests over the next seconds, the time
     * of the loads included; none unless they are worth it. Fewer layers for each engine leave
     * memory for more requests, but more of them may have to be loaded elsewhere.
     */
    private CoverSearch.Cover cover() {
        CoverSearch.Cover best = CoverSearch.Cover.NONE;
        double mostServed = MIN_GAIN * room() * PERIOD_SECONDS;
        double roomFor = TARGET_REQUESTS;
        while (roomFor >= MIN_MOVE_REQUESTS && roomFor * PERIOD_SECONDS > mostServed) {
            Optional<CoverSearch.Cover> found = coverFor(roomFor);
            double seconds = found.map(this::loadSeconds).orElse(PERIOD_SECONDS);
            double served = roomFor * (PERIOD_SECONDS - seconds);
            if (found.isPresent() && served > mostServed) {
                best = found.get();
                mostServed = served;
            }
            roomFor *= REQUESTS_STEP;
        }
        return best;
    }

    private Optional<CoverSearch.Cover> coverFor(double roomFor) {
        return capacity(spec, engines, roomFor) < spec.layers()
                ? Optional.empty()
                : new CoverSearch(spec, roomFor, inOrder()).cheapest();
    }

    private double loadSeconds(CoverSearch.Cover cover) {
        double layerSeconds = spec.loadTime().toMillis() / MILLIS / spec.layers();
        return cover.loadedLayers() * layerSeconds / PARALLEL_LOADS;
    }

    /** Returns the requests that fit at the layer with the least memory. */
    private double room() {
        return Arrays.stream(ZoneCoverage.room(spec, engines)).min().orElse(0);
    }

    /**
     * Returns the engines in the order of their layers; if they are of several zones, those of a
     * zone stay together, since each change of the zone costs every request link time.
     */
    private List<Endpoint> inOrder() {
        Map<String, Double> zones =
                engines.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Endpoint::zone,
                                        Collectors.averagingInt(EngineGroup::firstLayer)));
        return engines.stream()
                .sorted(
                        Comparator.comparing((Endpoint e) -> zones.get(e.zone()))
                                .thenComparing(Endpoint::zone)
                                .thenComparing(EngineGroup::firstLayer)
                                .thenComparing(Endpoint::id))
                .toList();
    }

    private static int firstLayer(Endpoint engine) {
        return engine.layers().map(LayerRange::from).orElse(0);
    }

    private LayerPlanner.Assignment change(Endpoint engine, LayerRange range, boolean urgent) {
        Optional<LayerRange> before = Optional.ofNullable(held.get(engine.id()));
        before.ifPresent(r -> count(r, -1));
        hold(engine, range);
        return new LayerPlanner.Assignment(engine, before, range, urgent);
    }

    /** Gives an engine without layers the range that has the fewest copies. */
    private LayerPlanner.Assignment assign(Endpoint engine) {
        int size = capacity(engine);
        return hold(engine, size, 0, copies.length - size);
    }

    private LayerPlanner.Assignment hold(Endpoint engine, int size, int first, int last) {
        return change(engine, leastHeldRange(size, first, last), false);
    }

    /**
     * Returns the range with the fewest copies that begins at one of some layers; layers without a
     * copy come first, and of these the lowest.
     */
    private LayerRange leastHeldRange(int size, int first, int last) {
        int best = first;
        double bestValue = -1;
        for (int from = first; from <= last; from++) {
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
}
