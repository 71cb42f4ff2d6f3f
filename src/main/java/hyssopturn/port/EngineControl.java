package hyssopturn.port;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Control calls to engines that forward requests along the chain themselves. */
public interface EngineControl {
    /**
     * Returns the requests of a chain's first engine that wait for a later engine.
     *
     * @param engine where the first engine listens
     * @return address of the engine that the request waits for, by request id; fails with a {@link
     *     PortException}
     */
    CompletableFuture<Map<String, Address>> stalled(Address engine);

    /** Result of an order to an engine. */
    enum OrderResult {
        /** The engine starts to carry it out, or is in the ordered state already. */
        ACCEPTED,
        /** The engine has accepted an order with a newer fencing token. */
        FENCED,
        /** The order does not fit the engine's state. */
        CONFLICT
    }

    /**
     * Moves a running request to other engines after the first one.
     *
     * @param engine where the first engine listens
     * @param id name that the first engine must have
     * @param request id of the request
     * @param hops address and layers of each hop; the first hop must be unchanged
     * @return true if the request continues along these hops; fails with a {@link PortException}
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
     * @param range layers to hold in place of its current ones
     * @param passing what becomes of requests that pass layers which the engine gives up
     * @param fence fencing token of the node that orders
     * @return result of the order; fails with {@link InDoubtException} if the engine may have
     *     accepted it
     */
    CompletableFuture<OrderResult> place(
            Address engine, InstanceId id, LayerRange range, Passing passing, long fence);

    /** What becomes of requests that pass layers which an engine gives up. */
    enum Passing {
        /** They end as usual; the engine loads nothing until then. */
        FINISH,
        /** They are cut off, and the engine loads its new layers at once. */
        CUT_OFF
    }
}
