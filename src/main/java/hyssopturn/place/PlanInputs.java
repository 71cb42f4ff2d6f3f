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
 * Inputs of a plan, with rates rounded to logarithmic steps so that small changes are ignored.
 *
 * @param demands rounded weight by model
 * @param engines holdings and rounded speed by engine
 */
record PlanInputs(Map<ModelSpec, Long> demands, Map<InstanceId, Engine> engines) {
    static final PlanInputs NONE = new PlanInputs(Map.of(), Map.of());

    private static final double LOG_STEP = Math.log(1.25);

    /** Properties of an engine that affect the plan. */
    record Engine(List<Holding> held, List<Holding> loading, long roundedSpeed) {}

    static PlanInputs of(List<Demand> demands, List<Worker> workers) {
        Map<InstanceId, Engine> engines = new TreeMap<>();
        workers.forEach(
                w ->
                        engines.put(
                                w.id(),
                                new Engine(w.held(), w.loading(), roundedLog(w.layerMillis()))));
        return new PlanInputs(
                demands.stream()
                        .collect(Collectors.toMap(Demand::model, d -> roundedLog(d.weight()))),
                engines);
    }

    private static long roundedLog(double value) {
        return Math.round(Math.log(value) / LOG_STEP);
    }

    /** Returns whether both inputs have the same models and the same engines. */
    boolean sameModelsAndEngines(PlanInputs other) {
        Set<InstanceId> otherIds = other.engines().keySet();
        return engines.keySet().equals(otherIds)
                && demands.keySet().equals(other.demands().keySet());
    }
}
