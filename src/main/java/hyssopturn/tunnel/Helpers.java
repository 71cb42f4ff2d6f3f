package hyssopturn.tunnel;

import hyssopturn.model.Address;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * The nodes that may open connections for this one, and how that went lately; not thread-safe.
 *
 * <p>Of the nodes that succeeded, one is taken at random, so that the work is spread over them.
 * Nodes that failed, perhaps since they cannot reach endpoints either, come last for some time.
 */
final class Helpers {
    /** Time for which a node that failed comes last. */
    static final Duration FAILURE_VALIDITY = Duration.ofSeconds(2);

    private final RandomGenerator random;
    private final Map<Address, Standing> standings = new HashMap<>();

    private enum Outcome {
        SUCCESS,
        UNKNOWN,
        FAILURE
    }

    private record Standing(Outcome outcome, long atNanos) {
        Outcome now(long nowNanos) {
            boolean outdated =
                    outcome == Outcome.FAILURE && nowNanos - atNanos > FAILURE_VALIDITY.toNanos();
            return outdated ? Outcome.UNKNOWN : outcome;
        }
    }

    Helpers(RandomGenerator random) {
        this.random = random;
    }

    /** Replaces the known nodes; what was seen of those that stay is kept. */
    void replace(Collection<Address> nodes) {
        standings.keySet().retainAll(nodes);
        nodes.forEach(n -> standings.putIfAbsent(n, new Standing(Outcome.UNKNOWN, 0)));
    }

    /** Returns some nodes in the order in which to ask them. */
    List<Address> inOrder(int most, long nowNanos) {
        List<Address> nodes = new ArrayList<>(standings.keySet());
        Collections.shuffle(nodes, Random.from(random));
        nodes.sort(Comparator.comparing(n -> standings.get(n).now(nowNanos)));
        return nodes.subList(0, Math.min(most, nodes.size()));
    }

    /** Returns a node of which nothing is known, to be tried beside one that is. */
    Optional<Address> unknown(long nowNanos) {
        List<Address> nodes =
                standings.keySet().stream()
                        .filter(n -> standings.get(n).now(nowNanos) == Outcome.UNKNOWN)
                        .toList();
        return nodes.isEmpty()
                ? Optional.empty()
                : Optional.of(nodes.get(random.nextInt(nodes.size())));
    }

    /** Records whether a node opened a connection. */
    void record(Address node, boolean success, long nowNanos) {
        Outcome outcome = success ? Outcome.SUCCESS : Outcome.FAILURE;
        standings.computeIfPresent(node, (n, before) -> new Standing(outcome, nowNanos));
    }

    boolean empty() {
        return standings.isEmpty();
    }
}
