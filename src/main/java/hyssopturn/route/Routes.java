package hyssopturn.route;

import hyssopturn.member.View;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;

import java.util.Optional;
import java.util.Set;

/** Chooses chains and replacements of parts of them, and predicts their time. */
public interface Routes extends ChainChooser {
    /**
     * Finds stages over some layers of a model.
     *
     * @param want what must be covered
     * @param view engines that may be used
     * @param avoid engines that must not be used
     * @return stages in order, empty if the layers are not covered
     */
    Optional<Chain> cover(Want want, View view, Set<InstanceId> avoid);

    /**
     * Predicts the time of a step from send to answer.
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
     * @param tokens number of tokens that run first
     */
    record Want(ModelId model, LayerRange layers, int tokens) {}
}
