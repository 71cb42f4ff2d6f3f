package hyssopturn.route;

import hyssopturn.helper.Check;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.port.Instance;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Engines that together run every layer of a model once, in order.
 *
 * @param model the model
 * @param stages stages in order of layers
 */
public record Chain(ModelId model, List<Stage> stages) {
    /** Copies the list and checks that the stages are consecutive. */
    public Chain {
        stages = List.copyOf(stages);
        Check.that(!stages.isEmpty(), "a chain must have at least one stage");
        int next = stages.getFirst().layers().from();
        for (Stage stage : stages) {
            Check.that(stage.layers().from() == next, "stages of a chain must be consecutive");
            next = stage.layers().to();
        }
    }

    /**
     * One engine of a chain.
     *
     * @param engine the engine
     * @param layers layers that it runs
     */
    public record Stage(Instance engine, LayerRange layers) {}

    /**
     * Returns a readable description of the chain.
     *
     * @return engines and their layers in order
     */
    public String describe() {
        return stages.stream()
                .map(s -> s.engine().id() + ":" + s.layers())
                .collect(Collectors.joining(" > "));
    }
}
