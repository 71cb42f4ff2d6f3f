package hyssopturn.place;

import hyssopturn.port.EngineClient.Holding;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Predicted performance of a placement.
 *
 * @param score score of the placement
 * @param tokensPerSecond total rate of all models if engines run one token at a time
 * @param minRate lowest rate of a model relative to its demand, in tokens per second
 * @param tokenMillis longest time of a token over the models, in milliseconds
 */
record Prediction(Score score, double tokensPerSecond, double minRate, double tokenMillis) {
    static Prediction of(List<Demand> demands, List<Worker> workers, Plan plan, Links links) {
        Map<hyssopturn.model.ModelId, Layout> layouts = new LinkedHashMap<>();
        demands.forEach(d -> layouts.put(d.model().id(), new Layout(d)));
        Map<hyssopturn.model.InstanceId, Worker> byId = new HashMap<>();
        workers.forEach(w -> byId.put(w.id(), w));
        plan.desired()
                .forEach(
                        (id, holdings) -> {
                            for (Holding holding : holdings) {
                                layouts.get(holding.model()).add(byId.get(id), holding.layers());
                            }
                        });
        return new Prediction(
                Score.of(layouts.values(), links),
                layouts.values().stream().mapToDouble(Layout::tokensPerSecond).sum(),
                layouts.values().stream()
                        .mapToDouble(l -> l.tokensPerSecond() / l.demand().weight())
                        .min()
                        .orElse(0),
                layouts.values().stream()
                        .mapToDouble(l -> TokenTime.millis(l, links))
                        .max()
                        .orElse(0));
    }
}
