package hyssopturn.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of instances, which lags behind the actual state. */
public interface InstanceList {
    /**
     * Reads the list.
     *
     * @return every instance known to the platform; fails with a {@link PortException}
     */
    CompletableFuture<List<Instance>> list();

    /**
     * Announces this instance; it stays listed only while the announcement is repeated.
     *
     * @param self entry of this instance
     * @return completes when the platform has stored the entry; fails with a {@link PortException}
     */
    CompletableFuture<Void> announce(Instance self);
}
