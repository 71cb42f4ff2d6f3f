package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelSpec;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Baseline placement: equal stages that fit the smallest engine, assigned in round-robin order. */
final class EvenSplit {
    private EvenSplit() {}

    static Plan plan(List<Demand> demands, List<Worker> workers) {
        Map<InstanceId, List<Holding>> desired = new HashMap<>();
        List<Worker> order = workers.stream().sorted(Comparator.comparing(Worker::id)).toList();
        for (int i = 0; i < order.size(); i++) {
            ModelSpec model = demands.get(i % demands.size()).model();
            int index = i / demands.size();
            desired.put(order.get(i).id(), List.of(holding(model, order, index)));
        }
        return new Plan(desired);
    }

    private static Holding holding(ModelSpec model, List<Worker> workers, int index) {
        int maxLayers = workers.stream().mapToInt(w -> Planner.maxLayers(w, model)).min().orElse(1);
        int stages = Math.ceilDiv(model.layers(), Math.max(1, maxLayers));
        List<LayerRange> ranges = new StageGrid(model.layers(), stages).ranges(model.layers());
        return new Holding(
                model.id(), ranges.get(index % ranges.size()), model.adapters(), Phase.BOTH);
    }
}
