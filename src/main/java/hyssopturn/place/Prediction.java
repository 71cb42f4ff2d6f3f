package hyssopturn.place;

import hyssopturn.port.EngineClient.Holding;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a placement is predicted to give.
 *
 * @param score its score
 * @param tokensPerSecond rate of all models together for engines that run one token at a time
 * @param slowest lowest rate of a model for each unit of its demand
 * @param tokenMillis greatest time of a token over the models, in milliseconds
 */
record Prediction(Score score, double tokensPerSecond, double slowest, double tokenMillis) {
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
