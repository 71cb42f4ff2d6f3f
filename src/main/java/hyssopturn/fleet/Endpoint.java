package hyssopturn.fleet;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.Optional;

/**
 * One endpoint as it last announced itself.
 *
 * @param id its name
 * @param service service that it serves
 * @param address where it listens
 * @param zone availability zone that it stands in
 * @param slots requests that it runs at once
 * @param leaving true if it takes no new work
 * @param kind kind of accelerator, empty text for a plain service
 * @param layers layers that it holds, empty if it holds none
 * @param incarnation moment of its start, in milliseconds since 1970
 * @param heartbeat number of its announcement
 */
public record Endpoint(
        InstanceId id,
        String service,
        Address address,
        String zone,
        int slots,
        boolean leaving,
        String kind,
        Optional<LayerRange> layers,
        long incarnation,
        long heartbeat) {
    /**
     * Returns the same endpoint with other layers.
     *
     * @param range layers that it should be taken to hold
     * @return the endpoint with these layers
     */
    public Endpoint holding(LayerRange range) {
        return new Endpoint(
                id,
                service,
                address,
                zone,
                slots,
                leaving,
                kind,
                Optional.of(range),
                incarnation,
                heartbeat);
    }
}
