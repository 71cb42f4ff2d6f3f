package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.Holding;

import java.util.List;
import java.util.Map;

/**
 * What every engine should hold.
 *
 * @param desired holdings by engine; engines that are left out may keep what they have
 */
record Plan(Map<InstanceId, List<Holding>> desired) {
    static final Plan EMPTY = new Plan(Map.of());

    Plan {
        desired = Map.copyOf(desired);
    }
}
