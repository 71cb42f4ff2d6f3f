package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.model.ModelSpec;
import hyssopturn.port.EngineClient.Holding;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * What a plan was made from, with rates rounded so that small changes are none.
 *
 * @param demands weight step by model
 * @param engines holdings and speed step by engine
 */
record Basis(Map<ModelSpec, Long> demands, Map<InstanceId, Engine> engines) {
    static final Basis NONE = new Basis(Map.of(), Map.of());

    private static final double STEP = Math.log(1.25);

    /** What matters of an engine. */
    record Engine(List<Holding> held, List<Holding> loading, long speedStep) {}

    static Basis of(List<Demand> demands, List<Worker> workers) {
        Map<InstanceId, Engine> engines = new TreeMap<>();
        workers.forEach(
                w -> engines.put(w.id(), new Engine(w.held(), w.loading(), step(w.layerMillis()))));
        return new Basis(
                demands.stream().collect(Collectors.toMap(Demand::model, d -> step(d.weight()))),
                engines);
    }

    private static long step(double value) {
        return Math.round(Math.log(value) / STEP);
    }

    /** Tells whether the same models are wanted of the same engines. */
    boolean sameFleet(Basis other) {
        Set<InstanceId> others = other.engines().keySet();
        return engines.keySet().equals(others) && demands.keySet().equals(other.demands().keySet());
    }
}
