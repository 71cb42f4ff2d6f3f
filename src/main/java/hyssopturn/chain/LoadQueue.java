package hyssopturn.chain;

import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Orders of a plan in the order of their urgency, as far as they may be given now; not thread-safe.
 *
 * <p>All loads share the store of the weights, and many at once would all end late. So orders for
 * further copies of layers wait until nothing is being loaded.
 */
final class LoadQueue {
    private final List<LayerPlanner.Assignment> assignments = new ArrayList<>();
    private boolean idle;

    /**
     * Creates a queue.
     *
     * @param loading engines that carry out an order, with the layers that they still load
     */
    LoadQueue(Map<InstanceId, Integer> loading) {
        idle = loading.values().stream().allMatch(layers -> layers == 0);
    }

    /** Adds orders that complete the model somewhere. */
    void addUrgent(List<LayerPlanner.Assignment> orders) {
        assignments.addAll(orders);
        idle &= layersToLoad(orders) == 0;
    }

    /** Adds orders for further copies of layers, unless layers are being loaded. */
    void addSpare(List<LayerPlanner.Assignment> orders) {
        if (idle) {
            assignments.addAll(orders);
        }
    }

    /** Counts the layers that some orders make engines load. */
    static int layersToLoad(List<LayerPlanner.Assignment> assignments) {
        return assignments.stream().mapToInt(LayerPlanner.Assignment::layersToLoad).sum();
    }

    /** Returns the orders to give now. */
    List<LayerPlanner.Assignment> assignments() {
        return List.copyOf(assignments);
    }
}
