package hyssopturn.load;

import java.time.Duration;
import java.util.List;

/**
 * Load that the clients of one zone put on a service.
 *
 * @param zone availability zone of the clients
 * @param nodes number of nodes that the load is summed over
 * @param priorities load by priority, the most urgent first
 * @param age time since the oldest part of it was measured
 */
public record ZoneLoad(String zone, int nodes, List<PriorityLoad> priorities, Duration age) {
    /** Copies the priorities. */
    public ZoneLoad {
        priorities = List.copyOf(priorities);
    }
}
