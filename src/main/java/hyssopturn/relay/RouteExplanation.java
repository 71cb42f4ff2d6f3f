package hyssopturn.relay;

import java.util.List;

/**
 * How a request would be routed now.
 *
 * @param node zone of the node that was asked
 * @param route name of the route
 * @param service name of the service; if the route has several, each request draws one
 * @param type {@code stream} or {@code plain}
 * @param priority priority, 0 is the most urgent
 * @param targetMillis target of the time to the first event or the answer, in milliseconds
 * @param zones what is known of the zones, empty if nothing is known of the load of all nodes
 * @param decision {@code start}, {@code hold} or {@code refuse}
 * @param cause reason of the decision, empty for a start
 * @param chosen chain or endpoint, empty if there is none
 * @param reach zones of the chosen engines, empty if there is none
 * @param admission what admission control would do
 * @param passedOver the endpoints that the request would not get, with the reason for each
 * @param retryAfterMillis when to come back if it is refused, in milliseconds, 0 otherwise
 */
public record RouteExplanation(
        String node,
        String route,
        String service,
        String type,
        int priority,
        long targetMillis,
        List<ZoneView> zones,
        String decision,
        String cause,
        String chosen,
        String reach,
        String admission,
        List<PassedOver> passedOver,
        long retryAfterMillis) {
    /** Copies the lists. */
    public RouteExplanation {
        zones = List.copyOf(zones);
        passedOver = List.copyOf(passedOver);
    }

    /**
     * What is known of a zone.
     *
     * @param zone its name
     * @param capacityPerSecond streams per second that its engines can serve
     * @param askedPerSecond streams per second that its clients ask for
     * @param latePart part of their streams that came late
     * @param ageMillis age of the load of its clients, in milliseconds
     * @param part part of this zone's requests that goes there, from 0 to 1
     * @param firstMillis expected time to the first event there, in milliseconds
     * @param cost cost of this way, in milliseconds
     */
    public record ZoneView(
            String zone,
            double capacityPerSecond,
            double askedPerSecond,
            double latePart,
            long ageMillis,
            double part,
            double firstMillis,
            double cost) {}

    /**
     * An endpoint that the request would not get.
     *
     * @param endpoint its id
     * @param zone its availability zone
     * @param reason why it was passed over
     */
    public record PassedOver(String endpoint, String zone, String reason) {}
}
