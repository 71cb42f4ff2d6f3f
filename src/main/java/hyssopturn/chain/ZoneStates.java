package hyssopturn.chain;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.load.LoadView;
import hyssopturn.load.PriorityLoad;
import hyssopturn.load.ZoneLoad;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Estimates the capacity of each zone, and combines it with what is known of its clients' demand.
 *
 * <p>The capacity is the number of streams of mean size that fit into the engines' memory, divided
 * by the time that one of them stays while the memory is full. It is no more than the rate at which
 * the engines read prompts. The time is corrected by the memory that is actually in use.
 */
public final class ZoneStates {
    /** Part of the memory from which its use shows how long streams stay when it is full. */
    private static final double BUSY_PART = 0.6;

    /** Limits of the correction of the time that a stream stays. */
    private static final double MIN_CORRECTION = 0.7;

    private static final double MAX_CORRECTION = 2;

    private static final double MILLIS = 1_000;
    private static final double CONTEXT_TOKENS = 1_000;

    private final EngineSpec spec;

    /**
     * Creates an estimator.
     *
     * @param spec sizes and speeds of the engines
     */
    public ZoneStates(EngineSpec spec) {
        this.spec = spec;
    }

    /** Memory, rate of prompt tokens and times per stream, of the engines of one zone. */
    private record Supply(
            double streams, double promptsPerSecond, double firstMillis, double stayMillis) {
        double perSecond(double correction) {
            return streams == 0
                    ? 0
                    : Math.min(promptsPerSecond, streams * MILLIS / (stayMillis * correction));
        }
    }

    /**
     * Returns the states of the zones whose clients' load is known.
     *
     * @param service name of the service
     * @param own availability zone of this node, which may have no engine
     * @param engines usable engines of the service
     * @param loads what is known of the load of all nodes
     * @return the states in the order of the zones' names
     */
    public List<ZoneState> known(
            String service, String own, List<Endpoint> engines, LoadView loads) {
        Map<String, List<Endpoint>> zones =
                engines.stream()
                        .filter(this::usable)
                        .collect(
                                Collectors.groupingBy(
                                        Endpoint::zone, TreeMap::new, Collectors.toList()));
        zones.putIfAbsent(own, List.of());
        Map<String, Supply> supplies = new TreeMap<>();
        zones.forEach((zone, members) -> supplies.put(zone, supply(members)));
        Map<String, ZoneLoad> demands = new TreeMap<>();
        zones.keySet().forEach(z -> loads.zone(service, z).ifPresent(l -> demands.put(z, l)));
        double correction = correction(zones, supplies, demands, loads);
        List<ZoneState> states = new ArrayList<>();
        demands.forEach(
                (zone, load) ->
                        states.add(
                                new ZoneState(
                                        zone,
                                        supplies.get(zone).perSecond(correction),
                                        supplies.get(zone).firstMillis,
                                        load.priorities(),
                                        load.age())));
        return states;
    }

    private boolean usable(Endpoint engine) {
        return engine.layers().filter(spec::hasLayers).isPresent()
                && spec.kind(engine.kind()).isPresent();
    }

    private Supply supply(List<Endpoint> engines) {
        double[] tokens = new double[spec.layers()];
        double[] prompts = new double[spec.layers()];
        double[] readMillis = new double[spec.layers()];
        double[] stepMillis = new double[spec.layers()];
        for (Endpoint engine : engines) {
            LayerRange held = engine.layers().orElseThrow();
            EngineKind kind = spec.kind(engine.kind()).orElseThrow();
            double fit = Math.max(0, spec.tokensThatFit(kind, held.size()));
            for (int layer = held.from(); layer < held.to(); layer++) {
                tokens[layer] += fit;
                prompts[layer] +=
                        spec.prefillTokensPerSecond()
                                * spec.layers()
                                / (kind.prefillFactor() * held.size());
                readMillis[layer] += fit * kind.prefillFactor() * readMillisPerLayer();
                stepMillis[layer] += fit * kind.stepFactor() * fullStepMillis(fit) / spec.layers();
            }
        }
        double fitting = Arrays.stream(tokens).min().orElse(0);
        if (fitting <= 0) {
            return new Supply(0, 0, 0, 0);
        }
        double first = 0;
        double step = 0;
        for (int layer = 0; layer < spec.layers(); layer++) {
            first += readMillis[layer] / tokens[layer];
            step += stepMillis[layer] / tokens[layer];
        }
        return new Supply(
                fitting / spec.meanRequestTokens(),
                Arrays.stream(prompts).min().orElse(0) / Math.max(1, spec.meanPromptTokens()),
                first + step,
                first + step * spec.meanAnswerTokens());
    }

    private double readMillisPerLayer() {
        return spec.meanPromptTokens() * MILLIS / spec.prefillTokensPerSecond() / spec.layers();
    }

    /** Returns the time of a step of the reference engine with full memory. */
    private double fullStepMillis(double tokens) {
        return spec.stepMillis()
                + spec.perRequestMillis() * tokens / spec.meanRequestTokens()
                + spec.contextMillis() * tokens / CONTEXT_TOKENS;
    }

    /**
     * Compares the memory in use with what the streams started should use. Both are summed over all
     * zones, since a stream may run in another zone than its client's.
     */
    private double correction(
            Map<String, List<Endpoint>> zones,
            Map<String, Supply> supplies,
            Map<String, ZoneLoad> demands,
            LoadView loads) {
        if (!demands.keySet().equals(zones.keySet())) {
            return 1;
        }
        double used = 0;
        double capacity = 0;
        for (Endpoint engine : zones.values().stream().flatMap(List::stream).toList()) {
            OptionalDouble known = loads.usedTokens(engine.id());
            if (known.isEmpty()) {
                return 1;
            }
            int held = engine.layers().orElseThrow().size();
            used += known.getAsDouble();
            EngineKind kind = spec.kind(engine.kind()).orElseThrow();
            capacity += Math.max(0, spec.tokensThatFit(kind, held) * held);
        }
        double expected = 0;
        for (Map.Entry<String, ZoneLoad> demand : demands.entrySet()) {
            double started =
                    demand.getValue().priorities().stream()
                            .mapToDouble(PriorityLoad::startedPerSecond)
                            .sum();
            expected += started * supplies.get(demand.getKey()).stayMillis / MILLIS;
        }
        expected *= spec.meanRequestTokens() * spec.layers();
        return used < BUSY_PART * capacity || expected <= 0
                ? 1
                : Math.clamp(used / expected, MIN_CORRECTION, MAX_CORRECTION);
    }
}
