package hyssopturn.limit;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;

/**
 * One start of an endpoint, to which a limit belongs.
 *
 * @param id the endpoint
 * @param incarnation time of the start, in milliseconds since 1970
 */
public record EndpointStart(InstanceId id, long incarnation) {
    /**
     * Returns the start that an announcement is of.
     *
     * @param endpoint the endpoint as it announced itself
     * @return its start
     */
    public static EndpointStart of(Endpoint endpoint) {
        return new EndpointStart(endpoint.id(), endpoint.incarnation());
    }
}
