package hyssopturn.place;

import hyssopturn.helper.Check;
import hyssopturn.model.ModelSpec;

import java.time.Duration;

/**
 * A model that must be held and how much it is wanted.
 *
 * @param model the model
 * @param weight its share of all wanted tokens, above 0
 * @param between tightest target between two tokens among its classes
 */
record Demand(ModelSpec model, double weight, Duration between) {
    Demand {
        Check.that(weight > 0, "weight must be positive");
    }
}
