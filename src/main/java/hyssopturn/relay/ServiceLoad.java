package hyssopturn.relay;

import hyssopturn.model.InstanceId;

import java.util.HashMap;
import java.util.Map;

/** Requests that this node has at each plain endpoint; not thread-safe. */
final class ServiceLoad {
    private final Map<InstanceId, Integer> running = new HashMap<>();

    void add(InstanceId endpoint) {
        running.merge(endpoint, 1, Integer::sum);
    }

    void remove(InstanceId endpoint) {
        running.computeIfPresent(endpoint, (id, count) -> count == 1 ? null : count - 1);
    }

    int at(InstanceId endpoint) {
        return running.getOrDefault(endpoint, 0);
    }
}
