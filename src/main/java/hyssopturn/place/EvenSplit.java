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

/** Naive placement: as many equal stages as the smallest engine needs, given out in turn. */
final class EvenSplit {
    private EvenSplit() {}

    static Plan plan(List<Demand> demands, List<Worker> workers) {
        Map<InstanceId, List<Holding>> desired = new HashMap<>();
        List<Worker> order = workers.stream().sorted(Comparator.comparing(Worker::id)).toList();
        for (int i = 0; i < order.size(); i++) {
            ModelSpec model = demands.get(i % demands.size()).model();
            int turn = i / demands.size();
            desired.put(order.get(i).id(), List.of(holding(model, order, turn)));
        }
        return new Plan(desired);
    }

    private static Holding holding(ModelSpec model, List<Worker> workers, int turn) {
        int room = workers.stream().mapToInt(w -> Planner.room(w, model)).min().orElse(1);
        int stages = Math.ceilDiv(model.layers(), Math.max(1, room));
        List<LayerRange> windows = new Grid(model.layers(), stages).windows(model.layers());
        return new Holding(
                model.id(), windows.get(turn % windows.size()), model.adapters(), Phase.BOTH);
    }
}
