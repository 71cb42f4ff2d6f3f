package hyssopturn.place;

import hyssopturn.helper.Check;
import hyssopturn.model.InstanceId;
import hyssopturn.model.Zone;
import hyssopturn.port.EngineClient.Holding;

import java.util.List;

/**
 * An engine as the planner sees it.
 *
 * @param id the engine
 * @param zone where it stands
 * @param memoryBytes memory for weights, in bytes
 * @param layerMillis time of a decode step through one layer, in milliseconds
 * @param held what it holds ready
 * @param loading what it is loading
 * @param busy true while it has work
 */
record Worker(
        InstanceId id,
        Zone zone,
        long memoryBytes,
        double layerMillis,
        List<Holding> held,
        List<Holding> loading,
        boolean busy) {
    Worker {
        Check.that(layerMillis > 0, "time of a layer must be positive");
        held = List.copyOf(held);
        loading = List.copyOf(loading);
    }
}
