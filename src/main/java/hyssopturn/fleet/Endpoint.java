package hyssopturn.fleet;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.Comparator;
import java.util.Optional;

/**
 * An endpoint as described by its latest announcement.
 *
 * @param id its name
 * @param service service that it serves
 * @param address where it listens
 * @param zone its availability zone
 * @param slots greatest number of requests that it runs at once
 * @param leaving true if it accepts no new requests
 * @param kind kind of accelerator, empty text for a plain service
 * @param layers layers that it holds, empty if it holds none
 * @param incarnation time of its start, in milliseconds since 1970
 * @param heartbeat sequence number of the announcement
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
    /** Order of the announcements of an endpoint: by its start, then by the sequence number. */
    static final Comparator<Endpoint> AGE =
            Comparator.comparingLong(Endpoint::incarnation).thenComparingLong(Endpoint::heartbeat);

    /**
     * Returns a copy of the endpoint with other layers.
     *
     * @param range layers that the copy holds
     * @return the copy
     */
    public Endpoint withLayers(LayerRange range) {
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

    /**
     * Returns a copy of the endpoint with another sequence number.
     *
     * @param sequence sequence number of the copy's announcement
     * @return the copy
     */
    public Endpoint withHeartbeat(long sequence) {
        return new Endpoint(
                id, service, address, zone, slots, leaving, kind, layers, incarnation, sequence);
    }
}
