package hyssopturn.run;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.route.Chain;

/**
 * A stage of the current attempt.
 *
 * @param stage engine and layers
 * @param cachedTokens number of accepted tokens whose state the engine has cached
 */
record RunStage(Chain.Stage stage, int cachedTokens) {
    RunStage withCachedTokens(int tokens) {
        return new RunStage(stage, tokens);
    }

    InstanceId engine() {
        return stage.engine().id();
    }

    LayerRange layers() {
        return stage.layers();
    }
}
