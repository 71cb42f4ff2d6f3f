package hyssopturn.place;

import hyssopturn.model.Zone;

/** Cost of links between zones. */
@FunctionalInterface
public interface Links {
    /** Links by distance alone: within a zone, between zones and between regions. */
    Links BY_DISTANCE = Links::byDistance;

    /**
     * Returns what it costs to hand a token's activation on.
     *
     * @param from zone that sends
     * @param to zone that receives
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
