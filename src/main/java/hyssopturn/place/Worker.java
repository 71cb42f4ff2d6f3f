package hyssopturn.place;

import hyssopturn.helper.Check;
import hyssopturn.model.InstanceId;
import hyssopturn.model.Zone;
import hyssopturn.port.EngineClient.Holding;

import java.util.List;

/**
 * State of an engine as input of the planner.
 *
 * @param id the engine
 * @param zone zone of the engine
 * @param memoryBytes memory for weights, in bytes
 * @param layerMillis time of a decode step through one layer, in milliseconds
 * @param held holdings that are ready
 * @param loading holdings that are being loaded
 * @param busy true while the engine has requests
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
