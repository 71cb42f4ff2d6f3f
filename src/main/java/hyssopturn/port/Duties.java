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
     * @return fencing token under which this node holds the duty of placement, empty if another
     *     node holds it; fails with a {@link PortException}
     */
    CompletableFuture<OptionalLong> join(Duration keep);

    /**
     * Gives up all duties, so that others take them at once.
     *
     * @return completes when the platform answered; fails with a {@link PortException}
     */
    CompletableFuture<Void> leave();
}
