package hyssopturn.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's lagging list of instances. */
public interface InstanceList {
    /**
     * Reads the list.
     *
     * @return every instance known to the platform; fails with a {@link PortException}
     */
    CompletableFuture<List<Instance>> list();

    /**
     * Announces this instance; it stays listed only while it is announced again and again.
     *
     * @param self the entry
     * @return completes when the platform has it; fails with a {@link PortException}
     */
    CompletableFuture<Void> announce(Instance self);
}
