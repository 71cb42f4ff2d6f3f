package hyssopturn.port;

import hyssopturn.model.Address;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Coordination duties that the platform assigns to nodes, each duty to one node at a time. */
public interface Duties {
    /**
     * Joins the group of nodes that duties are assigned to, or renews the membership.
     *
     * @param sessionTimeout time after which the platform reassigns the duties of a silent node
     * @return what this node holds; fails with a {@link PortException}
     */
    CompletableFuture<Assignment> join(Duration sessionTimeout);

    /**
     * Duties and share assigned to this node.
     *
     * @param placementToken fencing token under which this node holds the placement duty, empty if
     *     another node holds it
     * @param share fraction of the shared limits of all nodes that this node may use, from 0 to 1
     * @param nodes approximate number of nodes in the group, this one included
     * @param partitions numbers of the partitions that this node holds
     */
    record Assignment(
            OptionalLong placementToken, double share, double nodes, Set<Integer> partitions) {}

    /**
     * Reads which node holds each partition.
     *
     * @return addresses at which nodes reach each other, by the number of the partition; fails with
     *     a {@link PortException}
     */
    CompletableFuture<Map<Integer, Address>> owners();

    /**
     * Releases all duties, so that other nodes can take them over at once.
     *
     * @return completes when the platform has answered; fails with a {@link PortException}
     */
    CompletableFuture<Void> leave();
}
