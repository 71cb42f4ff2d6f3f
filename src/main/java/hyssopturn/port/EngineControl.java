package hyssopturn.port;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Questions and orders to engines that relay requests themselves. */
public interface EngineControl {
    /**
     * Asks the first engine of chains which of its requests wait for an engine behind it.
     *
     * @param engine where the first engine listens
     * @return address of the engine that is waited for, by request id; fails with a {@link
     *     PortException}
     */
    CompletableFuture<Map<String, Address>> stalled(Address engine);

    /** How an engine took an order. */
    enum OrderResult {
        /** It begins, or the state holds already. */
        ACCEPTED,
        /** A node with a newer fencing token has given orders. */
        FENCED,
        /** The order does not fit the engine's state. */
        CONFLICT
    }

    /**
     * Moves a request that is running to other engines behind its first one.
     *
     * @param engine where the first engine listens
     * @param id name that the first engine must have
     * @param request id of the request
     * @param hops address and layers of each hop; the first hop must be as before
     * @return true if the request goes on along these hops; fails with a {@link PortException}
     */
    CompletableFuture<Boolean> reroute(
            Address engine, InstanceId id, String request, List<Hop> hops);

    /**
     * One engine's part of a request.
     *
     * @param address where the engine listens
     * @param range layers that it runs
     */
    record Hop(Address address, LayerRange range) {}

    /**
     * Orders an engine to hold layers.
     *
     * @param engine where it listens
     * @param id name that the engine must have
     * @param range layers to hold in place of those it holds
     * @param fence fencing token of the orderer
     * @return how the engine took it; fails with {@link InDoubtException} if it may have been taken
     */
    CompletableFuture<OrderResult> place(
            Address engine, InstanceId id, LayerRange range, long fence);
}
