package hyssopturn.admit;

import hyssopturn.model.InstanceId;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Outlier ejection: excludes endpoints that fail repeatedly or are far slower than the others for
 * some time, and ramps up the weight of new and returning endpoints.
 *
 * <p>At most a fixed share of the known endpoints is ejected at once, so that a misleading signal
 * cannot remove all of them. Each further ejection of an endpoint lasts longer; its weight grows
 * back gradually.
 */
public final class Ejection {
    /** Greatest share of all endpoints that may be ejected at once. */
    public static final double MAX_EJECTED_SHARE = 0.34;

    private static final int EJECTION_FAILURES = 5;
    private static final double SLOW_FACTOR = 4;
    private static final int MIN_SAMPLES = 20;
    private static final int MIN_PEERS = 3;
    private static final double SMOOTHING = 0.1;
    private static final long BASE_EJECTION_NANOS = 5_000_000_000L;
    private static final long MAX_EJECTION_NANOS = 60_000_000_000L;
    private static final long RAMP_NANOS = 10_000_000_000L;
    private static final double MIN_WEIGHT = 0.1;

    private final Map<InstanceId, Health> endpoints = new HashMap<>();

    /** Creates an empty table. */
    public Ejection() {}

    private static final class Health {
        private int consecutiveFailures;
        private int samples;
        private double meanTimeRatio;
        private int ejections;
        private long rampStartNanos;
        private boolean hasFullWeight;

        boolean isEjected(long now) {
            return now < rampStartNanos;
        }
    }

    /**
     * Sets which endpoints exist; new ones start with little weight unless the table was empty.
     *
     * @param current endpoints that exist
     * @param nowNanos time now, in nanoseconds
     */
    public synchronized void setEndpoints(Set<InstanceId> current, long nowNanos) {
        boolean initial = endpoints.isEmpty();
        endpoints.keySet().retainAll(current);
        for (InstanceId id : current) {
            endpoints.computeIfAbsent(id, name -> newEndpoint(initial, nowNanos));
        }
    }

    private static Health newEndpoint(boolean initial, long now) {
        Health health = new Health();
        health.rampStartNanos = now;
        health.hasFullWeight = initial;
        return health;
    }

    /**
     * Records a successful call.
     *
     * @param endpoint the endpoint
     * @param timeRatio duration of the call over its predicted duration
     * @param nowNanos time now, in nanoseconds
     */
    public synchronized void recordSuccess(InstanceId endpoint, double timeRatio, long nowNanos) {
        Health health = endpoints.get(endpoint);
        if (health == null) {
            return;
        }
        health.consecutiveFailures = 0;
        health.samples++;
        health.meanTimeRatio +=
                (health.samples == 1 ? 1 : SMOOTHING) * (timeRatio - health.meanTimeRatio);
        if (health.samples >= MIN_SAMPLES && isSlow(health, nowNanos)) {
            eject(health, nowNanos);
        }
    }

    private boolean isSlow(Health health, long now) {
        double[] others =
                endpoints.values().stream()
                        .filter(h -> h != health && h.samples >= MIN_SAMPLES && !h.isEjected(now))
                        .mapToDouble(h -> h.meanTimeRatio)
                        .sorted()
                        .toArray();
        return others.length >= MIN_PEERS
                && health.meanTimeRatio > SLOW_FACTOR * others[others.length / 2];
    }

    /**
     * Records a call that failed or got no answer.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now, in nanoseconds
     */
    public synchronized void recordFailure(InstanceId endpoint, long nowNanos) {
        Health health = endpoints.get(endpoint);
        if (health == null) {
            return;
        }
        health.consecutiveFailures++;
        if (health.consecutiveFailures >= EJECTION_FAILURES) {
            eject(health, nowNanos);
        }
    }

    private void eject(Health health, long now) {
        long ejected = endpoints.values().stream().filter(h -> h.isEjected(now)).count();
        if (health.isEjected(now) || ejected + 1 > endpoints.size() * MAX_EJECTED_SHARE) {
            return;
        }
        long duration =
                Math.min(MAX_EJECTION_NANOS, BASE_EJECTION_NANOS << Math.min(health.ejections, 8));
        health.ejections++;
        health.rampStartNanos = now + duration;
        health.hasFullWeight = false;
        health.consecutiveFailures = 0;
        health.samples = 0;
        health.meanTimeRatio = 0;
    }

    /**
     * Returns the fraction of its usual share of requests that an endpoint may receive.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now, in nanoseconds
     * @return 0 while the endpoint is ejected, up to 1; 1 for an unknown endpoint
     */
    public synchronized double weight(InstanceId endpoint, long nowNanos) {
        Health health = endpoints.get(endpoint);
        if (health == null || health.hasFullWeight) {
            return 1;
        }
        if (health.isEjected(nowNanos)) {
            return 0;
        }
        double rampFraction = (double) (nowNanos - health.rampStartNanos) / RAMP_NANOS;
        if (rampFraction >= 1) {
            health.hasFullWeight = true;
            health.ejections = Math.max(0, health.ejections - 1);
            return 1;
        }
        return Math.max(MIN_WEIGHT, rampFraction);
    }

    /**
     * Counts ejected endpoints.
     *
     * @param nowNanos time now, in nanoseconds
     * @return number of endpoints
     */
    public synchronized int ejectedCount(long nowNanos) {
        return (int) endpoints.values().stream().filter(h -> h.isEjected(nowNanos)).count();
    }
}
