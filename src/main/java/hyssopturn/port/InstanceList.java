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
}
