package hyssopturn.route;

import hyssopturn.member.View;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;

import java.util.Optional;
import java.util.Set;

/** Chooses chains and replacements for parts of chains, and predicts the time of their steps. */
public interface Routes extends ChainChooser {
    /**
     * Finds stages over some layers of a model.
     *
     * @param query layers that must be covered
     * @param view engines that may be used
     * @param avoid engines that must not be used
     * @return stages in order, empty if the layers are not covered
     */
    Optional<Chain> cover(CoverQuery query, View view, Set<InstanceId> avoid);

    /**
     * Predicts the time of a step, from sending it to receiving the result.
     *
     * @param stage engine and layers
     * @param tokens number of tokens of the step
     * @return time in nanoseconds
     */
    double nanos(Chain.Stage stage, int tokens);

    /**
     * Layers that must be covered.
     *
     * @param model the model
     * @param layers the layers
     * @param tokens number of tokens of the first step
     */
    record CoverQuery(ModelId model, LayerRange layers, int tokens) {}
}
