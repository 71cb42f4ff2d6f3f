package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Endpoints that one request was sent to, which its route limits in number. A start of an endpoint
 * that has ended does not count.
 */
final class AttemptedEndpoints {
    private final Map<Start, Use> uses = new HashMap<>();

    /** One start of an endpoint. */
    private record Start(InstanceId id, long incarnation) {
        static Start of(Endpoint endpoint) {
            return new Start(endpoint.id(), endpoint.incarnation());
        }
    }

    private record Use(Endpoint endpoint, int attempts) {}

    /** Records an attempt at an endpoint. */
    void add(Endpoint endpoint) {
        uses.merge(
                Start.of(endpoint),
                new Use(endpoint, 1),
                (earlier, one) -> new Use(endpoint, earlier.attempts() + 1));
    }

    /** Records that the last attempt at an endpoint did not run. */
    void withdraw(Endpoint endpoint) {
        uses.computeIfPresent(
                Start.of(endpoint),
                (start, use) -> use.attempts() > 1 ? new Use(endpoint, use.attempts() - 1) : null);
    }

    /** Records that an endpoint has ended, so that none of its attempts counts. */
    void markEnded(Endpoint endpoint) {
        uses.remove(Start.of(endpoint));
    }

    /** Returns whether an endpoint was sent the request and may have run it. */
    boolean contains(Endpoint endpoint) {
        return uses.containsKey(Start.of(endpoint));
    }

    /** Returns the number of endpoints that count, without those that have ended since. */
    int count(Predicate<Endpoint> ended) {
        return (int) uses.values().stream().filter(use -> !ended.test(use.endpoint())).count();
    }
}
