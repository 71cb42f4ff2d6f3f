package hyssopturn.place;

import hyssopturn.model.Zone;

/** Latency of links between zones. */
@FunctionalInterface
public interface Links {
    /** Links with fixed latencies within a zone, between zones and between regions. */
    Links BY_DISTANCE = Links::byDistance;

    /**
     * Returns the time to send a token's activation from one engine to the next.
     *
     * @param from zone of the sender
     * @param to zone of the receiver
     * @return time in milliseconds
     */
    double millis(Zone from, Zone to);

    private static double byDistance(Zone from, Zone to) {
        final double withinZoneMillis = 0.3;
        final double betweenZonesMillis = 0.8;
        final double betweenRegionsMillis = 40;
        if (from.equals(to)) {
            return withinZoneMillis;
        }
        return from.region().equals(to.region()) ? betweenZonesMillis : betweenRegionsMillis;
    }
}
