package hyssopturn.chain;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the demand that exceeds the capacity of some zones among the zones that have room.
 *
 * <p>The result depends on what clients ask for and what engines can serve, not on what is being
 * sent between zones, so what is sent does not feed back into it. Every node that knows the same
 * gets the same result.
 */
final class ZoneBalance {
    /** Part of its capacity that a zone's clients must want before some are sent elsewhere. */
    private static final double SEND_ABOVE = 1;

    /** Part of its capacity that a zone fills with the demand of others. */
    private static final double ACCEPT_UP_TO = 0.97;

    /** Part of the capacity that is kept free for each second that the demand is old. */
    private static final double UNKNOWN_PER_SECOND = 0.01;

    /** Late part of a zone's streams from which on it has less room for others. */
    private static final double SOME_LATE = 0.1;

    /** Late part of a zone's streams from which on it has no room for others. */
    private static final double TOO_LATE = 0.3;

    /** Greatest part of its capacity that a zone is taken to lack because its streams are late. */
    private static final double MAX_LATE_CUT = 0.25;

    /** Part of its capacity that a zone's clients must use for lateness to be due to load. */
    private static final double LOADED = 0.7;

    private static final double MILLIS = 1_000;

    private ZoneBalance() {}

    /**
     * Returns the parts of a zone's demand to send to each other zone.
     *
     * @param own the zone
     * @param states the zones of which something is known
     * @return a part above 0 for each zone that should receive some
     */
    static Map<String, Double> parts(String own, List<ZoneState> states) {
        Map<String, Double> parts = new HashMap<>();
        double excess = 0;
        double room = 0;
        for (ZoneState state : states) {
            excess += excess(state);
            room += room(state);
        }
        double demand = 0;
        double ownExcess = 0;
        for (ZoneState state : states) {
            if (state.zone().equals(own)) {
                demand = state.demandPerSecond();
                ownExcess = excess(state);
            }
        }
        if (demand <= 0 || ownExcess <= 0 || room <= 0) {
            return parts;
        }
        double sent = ownExcess * Math.min(1, room / excess);
        for (ZoneState state : states) {
            double part = sent * room(state) / room / demand;
            if (part > 0) {
                parts.put(state.zone(), part);
            }
        }
        return parts;
    }

    /** Returns the streams per second by which a zone's demand exceeds its capacity. */
    static double excess(ZoneState state) {
        return Math.max(0, state.demandPerSecond() - SEND_ABOVE * timelyCapacity(state));
    }

    /** Returns the streams per second that a zone can serve beside its own clients. */
    static double room(ZoneState state) {
        double seconds = state.age().toMillis() / MILLIS;
        double usable =
                state.capacityPerSecond()
                        * Math.max(0, ACCEPT_UP_TO - UNKNOWN_PER_SECOND * seconds);
        return Math.max(0, usable - state.demandPerSecond()) * (1 - lateness(state));
    }

    /** Returns the capacity, less a part if a loaded zone's streams come late nevertheless. */
    private static double timelyCapacity(ZoneState state) {
        double capacity = state.capacityPerSecond();
        boolean loaded = state.demandPerSecond() >= LOADED * capacity;
        return loaded ? capacity * (1 - MAX_LATE_CUT * lateness(state)) : capacity;
    }

    /** Returns 0 if few streams are late, 1 if too many are. */
    private static double lateness(ZoneState state) {
        return Math.clamp((state.latePart() - SOME_LATE) / (TOO_LATE - SOME_LATE), 0, 1);
    }
}
