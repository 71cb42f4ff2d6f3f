package hyssopturn.platform;

import com.fasterxml.jackson.databind.JsonNode;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Address;
import hyssopturn.port.Duties;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Assigns duties through a consumer group of the log: the node that a partition is assigned to has
 * its duty.
 *
 * <p>The log assigns partitions evenly. A node's fraction of the partitions is therefore its share
 * of limits that apply to all nodes together, and the inverse of the fraction estimates the number
 * of nodes. The group's generation increases with each reassignment within an era of the log, so
 * both together serve as fencing token.
 */
final class GroupDuties implements Duties {
    private static final String GROUP = "hyssopturn-duties";
    private static final char ADDRESS_SEPARATOR = '@';
    private static final int PLACEMENT_PARTITION = 0;

    /** Number of bits of a fencing token that hold the generation; tokens are exact as decimals. */
    private static final int ERA_SHIFT = 32;

    /**
     * Number of topics of the group. If there are more nodes than partitions, a node without a
     * partition estimates the number of nodes as the number of partitions.
     */
    private static final int TOPIC_COUNT = 16;

    private final LogStoreClient store;
    private final String member;
    private final List<String> topics;
    private final int partitionsPerTopic;
    private final int partitions;
    private long generation;

    /**
     * Creates a member that has not joined.
     *
     * @param store the log store
     * @param node name of this node
     * @param peers address at which other nodes reach this one; part of the member's name, so that
     *     they learn it from the group
     * @param partitionsPerTopic number of partitions of a topic
     */
    GroupDuties(LogStoreClient store, String node, Address peers, int partitionsPerTopic) {
        this.store = store;
        this.partitionsPerTopic = partitionsPerTopic;
        store.whenRestored(() -> generation = 0);
        member = node + ADDRESS_SEPARATOR + peers;
        topics = IntStream.range(0, TOPIC_COUNT).mapToObj(i -> GROUP + "-" + i).toList();
        partitions = partitions(partitionsPerTopic);
    }

    /**
     * Returns the fencing token of a generation. Generations go back when the store returns from a
     * copy, so the era comes first.
     */
    private long token(long current) {
        return (store.era().orElse(0) << ERA_SHIFT) + current;
    }

    /** Returns the number of partitions that are assigned to nodes. */
    static int partitions(int partitionsPerTopic) {
        return TOPIC_COUNT * partitionsPerTopic;
    }

    @Override
    public CompletableFuture<Assignment> join(Duration keep) {
        Map<String, Object> message =
                Map.of(
                        "group", GROUP,
                        "Member", member,
                        "Topics", topics,
                        "TtlMs", keep.toMillis(),
                        "Generation", generation);
        return store.post("/v1/log-join", message).thenApply(this::assignment);
    }

    private Assignment assignment(JsonNode answer) {
        generation = JsonValue.integer(answer, "Generation");
        Set<Integer> assigned = new HashSet<>();
        answer.path("parts").forEach(row -> number(row).ifPresent(assigned::add));
        OptionalLong placement =
                assigned.contains(PLACEMENT_PARTITION)
                        ? OptionalLong.of(token(generation))
                        : OptionalLong.empty();
        double share = (double) assigned.size() / partitions;
        double nodes = (double) partitions / Math.max(1, assigned.size());
        return new Assignment(placement, share, nodes, assigned);
    }

    /** Returns the number of a row's partition, empty if the row is not about one of them. */
    private Optional<Integer> number(JsonNode row) {
        int topic = topics.indexOf(row.path(0).asText());
        int partition = row.path(1).asInt(-1);
        return topic >= 0 && partition >= 0 && partition < partitionsPerTopic
                ? Optional.of(topic * partitionsPerTopic + partition)
                : Optional.empty();
    }

    @Override
    public CompletableFuture<Map<Integer, Address>> owners() {
        return store.readJson("/v1/log-owners?group=" + GROUP).thenApply(this::owners);
    }

    private Map<Integer, Address> owners(JsonNode answer) {
        Map<Integer, Address> owners = new HashMap<>();
        for (JsonNode row : answer.path("parts")) {
            Optional<Address> holder = address(row.path(2).asText());
            number(row).ifPresent(n -> holder.ifPresent(address -> owners.put(n, address)));
        }
        return owners;
    }

    /** Returns the address in the name of a member, empty if it has none. */
    private static Optional<Address> address(String member) {
        try {
            return Optional.of(
                    Address.parse(member.substring(member.lastIndexOf(ADDRESS_SEPARATOR) + 1)));
        } catch (InvalidArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public CompletableFuture<Void> leave() {
        return store.post("/v1/log-leave", Map.of("group", GROUP, "Member", member))
                .thenAccept(answer -> generation = 0);
    }
}
