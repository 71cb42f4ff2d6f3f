package hyssopturn.place;

import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.port.EngineClient.Holding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Number of ready holders by model and layer. */
final class Coverage {
    private final Map<ModelId, Map<Integer, Integer>> counts = new HashMap<>();

    static Coverage of(List<Worker> workers) {
        Coverage coverage = new Coverage();
        workers.forEach(w -> w.held().forEach(h -> coverage.count(h, 1)));
        return coverage;
    }

    void remove(Holding holding) {
        count(holding, -1);
    }

    private void count(Holding holding, int change) {
        Map<Integer, Integer> layers =
                counts.computeIfAbsent(holding.model(), model -> new HashMap<>());
        for (int layer = holding.layers().from(); layer < holding.layers().to(); layer++) {
            layers.merge(layer, change, Integer::sum);
        }
    }

    /** Returns the lowest number of holders of any layer in a range. */
    int minHolders(ModelId model, LayerRange range) {
        Map<Integer, Integer> layers = counts.getOrDefault(model, Map.of());
        int lowest = Integer.MAX_VALUE;
        for (int layer = range.from(); layer < range.to(); layer++) {
            lowest = Math.min(lowest, layers.getOrDefault(layer, 0));
        }
        return lowest;
    }

    boolean covers(ModelId model, LayerRange range) {
        return minHolders(model, range) > 0;
    }
}
