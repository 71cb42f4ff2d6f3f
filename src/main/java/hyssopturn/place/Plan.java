package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.Holding;

import java.util.List;
import java.util.Map;

/**
 * Desired holdings of every engine.
 *
 * @param desired holdings by engine; engines that are left out may keep their current holdings
 */
record Plan(Map<InstanceId, List<Holding>> desired) {
    static final Plan EMPTY = new Plan(Map.of());

    Plan {
        desired = Map.copyOf(desired);
    }
}
