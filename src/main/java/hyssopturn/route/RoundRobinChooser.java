package hyssopturn.route;

import hyssopturn.member.View;
import hyssopturn.member.View.EngineView;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.port.EngineClient.Holding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Baseline that chooses the holders of each range in round-robin order, ignoring their load. */
public final class RoundRobinChooser implements ChainChooser {
    private final AtomicInteger turn = new AtomicInteger();

    /** Creates the chooser. */
    public RoundRobinChooser() {}

    @Override
    public Optional<Chain> choose(Query query, View view) {
        int offset = turn.getAndIncrement();
        List<Chain.Stage> stages = new ArrayList<>();
        int layer = 0;
        while (layer < query.model().layers()) {
            List<Chain.Stage> candidates = candidates(query.model().id(), layer, view);
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            Chain.Stage stage = candidates.get(Math.floorMod(offset, candidates.size()));
            stages.add(stage);
            layer = stage.layers().to();
        }
        return Optional.of(new Chain(query.model().id(), stages));
    }

    private static List<Chain.Stage> candidates(ModelId model, int layer, View view) {
        List<Chain.Stage> found = new ArrayList<>();
        for (EngineView engine : view.engines()) {
            for (Holding holding : engine.report().held()) {
                boolean covers = holding.layers().from() <= layer && layer < holding.layers().to();
                if (covers && holding.model().equals(model)) {
                    LayerRange part = new LayerRange(layer, holding.layers().to());
                    found.add(new Chain.Stage(engine.instance(), part));
                }
            }
        }
        return found;
    }
}
