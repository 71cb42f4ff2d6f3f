package hyssopturn.relay;

import hyssopturn.model.InstanceId;

import java.util.HashMap;
import java.util.Map;

/**
 * Number of this node's requests in progress at each endpoint of plain services; not thread-safe.
 */
final class ServiceLoad {
    private final Map<InstanceId, Integer> running = new HashMap<>();

    void add(InstanceId endpoint) {
        running.merge(endpoint, 1, Integer::sum);
    }

    void remove(InstanceId endpoint) {
        running.computeIfPresent(endpoint, (id, count) -> count == 1 ? null : count - 1);
    }

    int requestsAt(InstanceId endpoint) {
        return running.getOrDefault(endpoint, 0);
    }
}
