package hyssopturn.port;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** Duties that one node holds at a time, dealt out by the platform. */
public interface Duties {
    /**
     * Joins, or stays among, the nodes that duties are dealt to.
     *
     * @param keep how long the platform keeps a duty for a node that it hears nothing of
     * @return what this node holds; fails with a {@link PortException}
     */
    CompletableFuture<Dealt> join(Duration keep);

    /**
     * What was dealt to this node.
     *
     * @param placement fencing token under which it holds the duty of placement, empty if another
     *     node holds it
     * @param share its part of what all nodes may use together, from 0 to 1
     * @param nodes about how many nodes duties are dealt to, this one included
     */
    record Dealt(OptionalLong placement, double share, double nodes) {}

    /**
     * Gives up all duties, so that others take them at once.
     *
     * @return completes when the platform answered; fails with a {@link PortException}
     */
    CompletableFuture<Void> leave();
}
