package hyssopturn.chain;

import hyssopturn.load.PriorityLoad;

import java.util.List;
import java.util.Optional;

/**
 * The state of a node's own zone, and the parts of its requests that go to other zones.
 *
 * @param own state of the node's own zone
 * @param others the other zones of which something is known
 */
public record ZonePlan(ZoneState own, List<Neighbour> others) {
    /** Copies the list. */
    public ZonePlan {
        others = List.copyOf(others);
    }

    /**
     * Another zone.
     *
     * @param state what is known of it
     * @param part part of the own zone's requests that is sent there, from 0 to 1
     */
    public record Neighbour(ZoneState state, double part) {}

    /**
     * Finds another zone.
     *
     * @param zone its name
     * @return the zone, empty if nothing is known of it
     */
    public Optional<Neighbour> other(String zone) {
        return others.stream().filter(n -> n.state().zone().equals(zone)).findFirst();
    }

    /**
     * Returns the part of the requests of one priority that leave the own zone. The least urgent
     * requests leave first, so that the urgent ones are spared the way.
     *
     * @param priority the priority, 0 is the most urgent
     * @return the part, from 0 to 1
     */
    public double leavingPart(int priority) {
        double leaving = total();
        double demand = own.demandPerSecond();
        double same = 0;
        double lessUrgent = 0;
        for (PriorityLoad load : own.demand()) {
            if (load.priority() == priority) {
                same += load.askedPerSecond();
            } else if (load.priority() > priority) {
                lessUrgent += load.askedPerSecond();
            }
        }
        return same <= 0 ? leaving : Math.clamp((leaving * demand - lessUrgent) / same, 0, 1);
    }

    /**
     * Draws where a request should go.
     *
     * @param priority priority of the request, 0 is the most urgent
     * @param draw random number from 0 to below 1
     * @return another zone, empty if the request should stay
     */
    public Optional<String> draw(int priority, double draw) {
        double total = total();
        double leaving = leavingPart(priority);
        if (total <= 0 || draw >= leaving) {
            return Optional.empty();
        }
        double remaining = draw / leaving * total;
        for (Neighbour other : others) {
            remaining -= other.part;
            if (remaining < 0) {
                return Optional.of(other.state.zone());
            }
        }
        return Optional.empty();
    }

    private double total() {
        return Math.min(1, others.stream().mapToDouble(Neighbour::part).sum());
    }
}
