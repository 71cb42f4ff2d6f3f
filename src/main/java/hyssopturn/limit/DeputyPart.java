package hyssopturn.limit;

import hyssopturn.model.Address;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The part of a limit that the deputy of an issuer issues.
 *
 * <p>An issuer that failed is replaced within a lease. If a deputy is asked for longer, some nodes
 * may reach the issuer and some neither of the two, which send parts of their own: then it issues
 * what the nodes that ask it may send by their shares. Not thread-safe.
 */
final class DeputyPart {
    /** Time after which a node that asked no more counts as one that does not ask. */
    private static final Duration MEMORY = Duration.ofSeconds(4);

    /** Least part, so that a rate is positive. */
    private static final double MIN_PART = 1e-6;

    private final Map<Address, Long> askers = new HashMap<>();
    private long sinceNanos;

    /**
     * Notes a question and returns the part of the limit that is issued now.
     *
     * @param from node that asks
     * @param shares share of each node, by the partitions that it holds; 1 for all nodes together
     * @param nowNanos time of the question
     */
    double ask(Address from, ToDoubleFunction<Address> shares, long nowNanos) {
        askers.values().removeIf(at -> nowNanos - at > MEMORY.toNanos());
        if (askers.isEmpty()) {
            sinceNanos = nowNanos;
        }
        askers.put(from, nowNanos);
        if (nowNanos - sinceNanos < OwnParts.WAIT.toNanos()) {
            return OwnParts.TOTAL_PART;
        }
        double share = askers.keySet().stream().mapToDouble(shares).sum();
        return Math.max(MIN_PART, OwnParts.TOTAL_PART * share);
    }
}
