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
 * Duties dealt out by a consumer group of the log: whoever holds a partition has its duty.
 *
 * <p>Partitions are dealt out evenly, so a node's part of them is its part of what all nodes may
 * use together, and tells how many nodes there are. The group's generation grows with each change
 * of holders, so it serves as fencing token.
 */
final class GroupDuties implements Duties {
    private static final String GROUP = "hyssopturn-duties";
    private static final int PLACEMENT = 0;

    /**
     * Topics of the group. A node that holds no partition, as there are more nodes, takes them to
     * be as many as partitions.
     */
    private static final int TOPICS = 16;

    private final Store store;
    private final String member;
    private final List<String> topics;
    private final int partitions;
    private long generation;

    GroupDuties(Store store, String member, int partitionsEach) {
        this.store = store;
        this.member = member;
        topics = IntStream.range(0, TOPICS).mapToObj(i -> GROUP + "-" + i).toList();
        partitions = topics.size() * partitionsEach;
    }

    @Override
    public CompletableFuture<Dealt> join(Duration keep) {
        Map<String, Object> message =
                Map.of(
                        "group", GROUP,
                        "Member", member,
                        "Topics", topics,
                        "TtlMs", keep.toMillis(),
                        "Generation", generation);
        return store.post("/v1/log-join", message).thenApply(this::held);
    }

    private Dealt held(JsonNode answer) {
        generation = JsonValue.whole(answer, "Generation");
        JsonNode rows = answer.path("parts");
        OptionalLong placement = OptionalLong.empty();
        for (JsonNode row : rows) {
            boolean first = row.path(0).asText().equals(topics.getFirst());
            if (first && row.path(1).asInt(-1) == PLACEMENT) {
                placement = OptionalLong.of(generation);
            }
        }
        double share = Math.min(1, (double) rows.size() / partitions);
        return new Dealt(placement, share, (double) partitions / Math.max(1, rows.size()));
    }

    @Override
    public CompletableFuture<Void> leave() {
        return store.post("/v1/log-leave", Map.of("group", GROUP, "Member", member))
                .thenAccept(answer -> generation = 0);
    }
}
