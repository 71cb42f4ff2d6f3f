package hyssopturn.limit;

import hyssopturn.model.Address;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Which node issues the grants of an endpoint, as last read from the platform. */
final class IssuerDirectory {
    /** Time for which the deputy of an issuer that did not answer is asked. */
    private static final Duration SILENCE = Duration.ofSeconds(1);

    /** Number of questions in a row without a reply that show more than lost messages. */
    private static final int MAX_UNANSWERED = 3;

    private final int partitions;
    private final Map<Address, Integer> unanswered = new HashMap<>();
    private final Map<Address, Long> silentUntilNanos = new HashMap<>();
    private SortedMap<Integer, Address> owners = new TreeMap<>();
    private Map<Address, Integer> held = Map.of();
    private boolean outdated = true;

    /**
     * A node to ask.
     *
     * @param address its address
     * @param deputy true if it stands in for an issuer that does not answer
     */
    record Issuer(Address address, boolean deputy) {}

    /** Creates a directory that knows no node. */
    IssuerDirectory(int partitions) {
        this.partitions = partitions;
    }

    /** Replaces the owners of the partitions. */
    void update(Map<Integer, Address> current) {
        owners = new TreeMap<>(current);
        outdated = owners.isEmpty();
        silentUntilNanos.keySet().retainAll(owners.values());
        unanswered.keySet().retainAll(owners.values());
        held = new HashMap<>();
        owners.values().forEach(owner -> held.merge(owner, 1, Integer::sum));
    }

    /** Returns the part of the partitions that a node held when the owners were last read. */
    double share(Address address) {
        return (double) held.getOrDefault(address, 0) / partitions;
    }

    /** Records that a node did not answer a question. */
    void recordSilence(Address address, long nowNanos) {
        if (unanswered.merge(address, 1, Integer::sum) >= MAX_UNANSWERED) {
            silentUntilNanos.put(address, nowNanos + SILENCE.toNanos());
        }
    }

    /** Records that a node answered a question. */
    void recordReply(Address address) {
        unanswered.remove(address);
        silentUntilNanos.remove(address);
    }

    /** Records that a node said that another one issues the grants, which it may have named. */
    void redirect(EndpointStart start, Optional<Address> issuer) {
        outdated = true;
        int partition = GrantIssuer.partition(start, partitions);
        issuer.ifPresentOrElse(a -> owners.put(partition, a), () -> owners.remove(partition));
    }

    /** Returns the node that holds the partition of an endpoint, empty if none is known. */
    Optional<Address> owner(EndpointStart start) {
        return Optional.ofNullable(owners.get(GrantIssuer.partition(start, partitions)));
    }

    /** Returns all known nodes. */
    Set<Address> nodes() {
        return new HashSet<>(owners.values());
    }

    /** Returns whether the owners should be read again. */
    boolean outdated() {
        return outdated;
    }

    /** Returns the node to ask for a grant, empty if none is known or both are silent. */
    Optional<Issuer> find(EndpointStart start, long nowNanos) {
        Optional<Address> owner = owner(start);
        if (owner.isPresent() && !silent(owner.get(), nowNanos)) {
            return Optional.of(new Issuer(owner.get(), false));
        }
        int partition = GrantIssuer.partition(start, partitions);
        return owner.flatMap(o -> deputy(partition, o))
                .filter(deputy -> !silent(deputy, nowNanos))
                .map(deputy -> new Issuer(deputy, true));
    }

    /** Returns the owner of the next partition that another node owns. */
    private Optional<Address> deputy(int partition, Address owner) {
        for (Address next : owners.tailMap(partition).values()) {
            if (!next.equals(owner)) {
                return Optional.of(next);
            }
        }
        return owners.values().stream().filter(a -> !a.equals(owner)).findFirst();
    }

    private boolean silent(Address address, long nowNanos) {
        Long until = silentUntilNanos.get(address);
        return until != null && nowNanos < until;
    }
}
