package hyssopturn.chain;

import hyssopturn.helper.Check;
import hyssopturn.load.PriorityLoad;

import java.time.Duration;
import java.util.List;

/**
 * Capacity of a zone's engines and demand of its clients, as far as this node knows them.
 *
 * @param zone availability zone
 * @param capacityPerSecond streams per second that the engines can serve when their memory is full
 * @param firstMillis time to the first event of a stream of mean size without a wait, in
 *     milliseconds
 * @param demand load of the zone's clients by priority
 * @param age time since the demand was measured
 */
public record ZoneState(
        String zone,
        double capacityPerSecond,
        double firstMillis,
        List<PriorityLoad> demand,
        Duration age) {
    /** Copies the demand. */
    public ZoneState {
        Check.that(capacityPerSecond >= 0, "capacity must not be negative");
        demand = List.copyOf(demand);
    }

    /**
     * Returns the streams that the zone's clients ask for.
     *
     * @return streams per second
     */
    public double demandPerSecond() {
        return demand.stream().mapToDouble(PriorityLoad::askedPerSecond).sum();
    }

    /**
     * Returns the part of the streams started whose first event came too late.
     *
     * @return the part, from 0 to 1, 0 if no stream was started
     */
    public double latePart() {
        double started = demand.stream().mapToDouble(PriorityLoad::startedPerSecond).sum();
        double late = demand.stream().mapToDouble(p -> p.startedPerSecond() * p.latePart()).sum();
        return started > 0 ? late / started : 0;
    }

    /**
     * Returns the number of streams of the zone's clients that wait for capacity.
     *
     * @return number of streams
     */
    public double held() {
        return demand.stream().mapToDouble(PriorityLoad::held).sum();
    }
}
