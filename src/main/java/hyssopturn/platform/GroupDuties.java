package hyssopturn.platform;

import com.fasterxml.jackson.databind.JsonNode;

import hyssopturn.port.Duties;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Assigns duties through a consumer group of the log: the node that a partition is assigned to has
 * its duty.
 *
 * <p>The log assigns partitions evenly. A node's fraction of the partitions is therefore its share
 * of limits that apply to all nodes together, and the inverse of the fraction estimates the number
 * of nodes. The group's generation increases with each reassignment, so it serves as fencing token.
 */
final class GroupDuties implements Duties {
    private static final String GROUP = "hyssopturn-duties";
    private static final int PLACEMENT_PARTITION = 0;

    /**
     * Number of topics of the group. If there are more nodes than partitions, a node without a
     * partition estimates the number of nodes as the number of partitions.
     */
    private static final int TOPIC_COUNT = 16;

    private final LogStoreClient store;
    private final String member;
    private final List<String> topics;
    private final int partitions;
    private long generation;

    GroupDuties(LogStoreClient store, String member, int partitionsPerTopic) {
        this.store = store;
        this.member = member;
        topics = IntStream.range(0, TOPIC_COUNT).mapToObj(i -> GROUP + "-" + i).toList();
        partitions = topics.size() * partitionsPerTopic;
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
        JsonNode assigned = answer.path("parts");
        OptionalLong placement = OptionalLong.empty();
        for (JsonNode partition : assigned) {
            boolean firstTopic = partition.path(0).asText().equals(topics.getFirst());
            if (firstTopic && partition.path(1).asInt(-1) == PLACEMENT_PARTITION) {
                placement = OptionalLong.of(generation);
            }
        }
        double share = Math.min(1, (double) assigned.size() / partitions);
        return new Assignment(placement, share, (double) partitions / Math.max(1, assigned.size()));
    }

    @Override
    public CompletableFuture<Void> leave() {
        return store.post("/v1/log-leave", Map.of("group", GROUP, "Member", member))
                .thenAccept(answer -> generation = 0);
    }
}
