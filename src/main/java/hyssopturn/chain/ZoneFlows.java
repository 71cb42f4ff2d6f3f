package hyssopturn.chain;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The parts of the requests of this node's zone that are sent to each other zone, by service; not
 * thread-safe.
 *
 * <p>A part follows the moving mean of what {@link ZoneBalance} computes, in bounded steps and at a
 * distance, so that it changes without a jump and does not turn with the noise of the demand.
 */
public final class ZoneFlows {
    /** Time between two steps. */
    static final Duration INTERVAL = Duration.ofMillis(100);

    /** Greatest change of a part in one step. */
    static final double MAX_STEP = 0.05;

    /** Distance that a part keeps from the mean that it follows, so that noise does not move it. */
    static final double DEAD_BAND = 0.02;

    /** Weight of the newest value in the mean that a part follows. */
    private static final double SMOOTHING = 0.25;

    /** Greatest number of steps made up for after a time without requests. */
    private static final long MAX_STEPS = 10;

    /** Change of a part since the last report that is worth a report. */
    private static final double NOTABLE = 0.05;

    /** Shortest time between two reports of one pair of zones. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(5);

    private final Map<String, ServiceFlows> services = new HashMap<>();
    private final boolean reporting;

    /** Creates flows of zero. */
    public ZoneFlows() {
        this(true);
    }

    private ZoneFlows(boolean reporting) {
        this.reporting = reporting;
    }

    /**
     * Copies the parts in force.
     *
     * @return the copy, which reports nothing
     */
    ZoneFlows copy() {
        ZoneFlows copy = new ZoneFlows(false);
        services.forEach((service, flows) -> copy.services.put(service, flows.copy()));
        return copy;
    }

    /** Receives the parts that changed notably. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Handles a change.
         *
         * @param service name of the service
         * @param zone the zone that requests are sent to
         * @param part part of the requests that is sent there, from 0 to 1
         */
        void changed(String service, String zone, double part);
    }

    private static final class ServiceFlows {
        private final Map<String, Flow> flows = new HashMap<>();
        private Optional<ZonePlan> plan = Optional.empty();
        private long updatedNanos;
        private boolean updated;

        private ServiceFlows copy() {
            ServiceFlows copy = new ServiceFlows();
            flows.forEach((zone, flow) -> copy.flows.put(zone, flow.copy()));
            copy.plan = plan;
            copy.updatedNanos = updatedNanos;
            copy.updated = updated;
            return copy;
        }

        private boolean due(long nowNanos) {
            return !updated || nowNanos - updatedNanos >= INTERVAL.toNanos();
        }

        private double steps(long nowNanos) {
            long steps = updated ? (nowNanos - updatedNanos) / INTERVAL.toNanos() : 1;
            return Math.min(MAX_STEPS, steps);
        }
    }

    private static final class Flow {
        private double mean;
        private double part;
        private double reported;
        private long reportedNanos;

        private Flow copy() {
            Flow copy = new Flow();
            copy.mean = mean;
            copy.part = part;
            return copy;
        }

        void approach(double wanted, double steps) {
            mean += (wanted - mean) * (1 - Math.pow(1 - SMOOTHING, steps));
            if (mean < DEAD_BAND && wanted == 0) {
                change(-part, steps);
            } else if (Math.abs(mean - part) > DEAD_BAND) {
                change(mean - part - Math.copySign(DEAD_BAND, mean - part), steps);
            }
        }

        private void change(double change, double steps) {
            part += Math.clamp(change, -MAX_STEP * steps, MAX_STEP * steps);
        }

        boolean reportDue(long nowNanos) {
            boolean notable = Math.abs(part - reported) >= NOTABLE || (part == 0 && reported != 0);
            return notable
                    && (reportedNanos == 0
                            || nowNanos - reportedNanos >= REPORT_INTERVAL.toNanos());
        }
    }

    /**
     * Returns the parts in force, after a step towards the parts that are wanted if one is due.
     *
     * @param service name of the service
     * @param own availability zone of this node
     * @param states computes the states of the known zones; called if a step is due
     * @param nowNanos time now
     * @param listener receives notable changes
     * @return the parts, empty if too little is known of this zone or of every other zone
     */
    public Optional<ZonePlan> plan(
            String service,
            String own,
            Supplier<List<ZoneState>> states,
            long nowNanos,
            Listener listener) {
        ServiceFlows known = services.computeIfAbsent(service, s -> new ServiceFlows());
        if (known.due(nowNanos)) {
            update(known, own, states.get(), nowNanos);
            if (reporting) {
                known.flows.forEach(
                        (zone, flow) -> report(service, zone, flow, nowNanos, listener));
            }
        }
        return known.plan;
    }

    /**
     * Returns the parts in force without a step.
     *
     * @param service name of the service
     * @return the parts, empty if too little is known
     */
    public Optional<ZonePlan> inForce(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(s -> s.plan);
    }

    /**
     * Returns the part of the requests that is sent to a zone.
     *
     * @param service name of the service
     * @param zone the zone
     * @return the part, from 0 to 1
     */
    public double part(String service, String zone) {
        return inForce(service)
                .flatMap(plan -> plan.other(zone))
                .map(ZonePlan.Neighbour::part)
                .orElse(0.0);
    }

    private static void update(
            ServiceFlows known, String own, List<ZoneState> states, long nowNanos) {
        double steps = known.steps(nowNanos);
        known.updated = true;
        known.updatedNanos = nowNanos;
        Optional<ZoneState> ownState =
                states.stream().filter(s -> s.zone().equals(own)).findFirst();
        if (ownState.isEmpty() || states.size() == 1) {
            known.flows.clear();
            known.plan = Optional.empty();
            return;
        }
        Map<String, Double> wanted = ZoneBalance.parts(own, states);
        wanted.keySet().forEach(zone -> known.flows.computeIfAbsent(zone, z -> new Flow()));
        known.flows.forEach((zone, flow) -> flow.approach(wanted.getOrDefault(zone, 0.0), steps));
        List<ZonePlan.Neighbour> neighbours = new ArrayList<>();
        for (ZoneState state : states) {
            if (!state.zone().equals(own)) {
                Flow flow = known.flows.get(state.zone());
                neighbours.add(new ZonePlan.Neighbour(state, flow == null ? 0 : flow.part));
            }
        }
        known.plan = Optional.of(new ZonePlan(ownState.get(), neighbours));
    }

    private static void report(
            String service, String zone, Flow flow, long nowNanos, Listener listener) {
        if (flow.reportDue(nowNanos)) {
            flow.reported = flow.part;
            flow.reportedNanos = nowNanos;
            listener.changed(service, zone, flow.part);
        }
    }
}
