package hyssopturn.run;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.route.Chain;

/**
 * A stage of the present attempt.
 *
 * @param stage engine and layers
 * @param have number of positions whose state the engine has cached in the accepted lineage
 */
record Place(Chain.Stage stage, int have) {
    Place with(int positions) {
        return new Place(stage, positions);
    }

    InstanceId engine() {
        return stage.engine().id();
    }

    LayerRange layers() {
        return stage.layers();
    }
}
