package hyssopturn.route;

import hyssopturn.member.View;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Target;

import java.util.Optional;

/** Chooses the chain that runs a request. */
@FunctionalInterface
public interface ChainChooser {
    /**
     * Chooses a chain.
     *
     * @param query model, prompt and target of the request
     * @param view engines that may run the request
     * @return a chain over all layers, empty if there is none
     */
    Optional<Chain> choose(Query query, View view);

    /**
     * Properties of a request that determine its chain.
     *
     * @param model the model
     * @param promptTokens number of tokens of the prompt
     * @param prefix hash of the prompt's prefix
     * @param target latency target of the request's class
     */
    record Query(ModelSpec model, int promptTokens, long prefix, Target target) {}
}
