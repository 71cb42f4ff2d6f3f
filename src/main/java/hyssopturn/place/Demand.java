package hyssopturn.place;

import hyssopturn.helper.Check;
import hyssopturn.model.ModelSpec;

import java.time.Duration;

/**
 * Demand for a model that engines must hold.
 *
 * @param model the model
 * @param weight share of the model in the demand for tokens, above 0
 * @param tokenIntervalTarget tightest target for the time between two tokens among the model's
 *     classes
 */
record Demand(ModelSpec model, double weight, Duration tokenIntervalTarget) {
    Demand {
        Check.that(weight > 0, "weight must be positive");
    }
}
