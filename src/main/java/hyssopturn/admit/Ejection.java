package hyssopturn.admit;

import hyssopturn.model.InstanceId;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Takes endpoints that fail or lag far behind the others out of use for a while, and eases
 * newcomers and returners in.
 *
 * <p>At most a set share of the known endpoints is out at once, so that a bad signal cannot take
 * away all of them. Each further ejection lasts longer; weight returns step by step.
 */
public final class Ejection {
    /** Share of all endpoints that may be out at once. */
    public static final double MAX_SHARE = 0.34;

    private static final int FAILURES = 5;
    private static final double SLOW_FACTOR = 4;
    private static final int MIN_SAMPLES = 20;
    private static final int MIN_PEERS = 3;
    private static final double SMOOTHING = 0.1;
    private static final long BASE_NANOS = 5_000_000_000L;
    private static final long MAX_NANOS = 60_000_000_000L;
    private static final long RAMP_NANOS = 10_000_000_000L;
    private static final double LEAST_WEIGHT = 0.1;

    private final Map<InstanceId, Health> endpoints = new HashMap<>();

    /** Creates a table that knows no endpoint. */
    public Ejection() {}

    private static final class Health {
        private int failures;
        private int samples;
        private double nanos;
        private int ejections;
        private long returnNanos;
        private boolean settled;

        boolean out(long now) {
            return now < returnNanos;
        }
    }

    /**
     * Sets which endpoints exist; new ones start with little weight unless all are new.
     *
     * @param live endpoints that exist
     * @param nowNanos time now
     */
    public synchronized void known(Set<InstanceId> live, long nowNanos) {
        boolean start = endpoints.isEmpty();
        endpoints.keySet().retainAll(live);
        for (InstanceId id : live) {
            endpoints.computeIfAbsent(id, name -> newcomer(start, nowNanos));
        }
    }

    private static Health newcomer(boolean start, long now) {
        Health health = new Health();
        health.returnNanos = now;
        health.settled = start;
        return health;
    }

    /**
     * Notes a call that went well.
     *
     * @param endpoint the endpoint
     * @param took time of the call over the time predicted for it
     * @param nowNanos time now
     */
    public synchronized void success(InstanceId endpoint, double took, long nowNanos) {
        Health health = endpoints.get(endpoint);
        if (health == null) {
            return;
        }
        health.failures = 0;
        health.samples++;
        health.nanos += (health.samples == 1 ? 1 : SMOOTHING) * (took - health.nanos);
        if (health.samples >= MIN_SAMPLES && slow(health, nowNanos)) {
            eject(health, nowNanos);
        }
    }

    private boolean slow(Health health, long now) {
        double[] others =
                endpoints.values().stream()
                        .filter(h -> h != health && h.samples >= MIN_SAMPLES && !h.out(now))
                        .mapToDouble(h -> h.nanos)
                        .sorted()
                        .toArray();
        return others.length >= MIN_PEERS && health.nanos > SLOW_FACTOR * others[others.length / 2];
    }

    /**
     * Notes a call that failed or got no answer.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     */
    public synchronized void failure(InstanceId endpoint, long nowNanos) {
        Health health = endpoints.get(endpoint);
        if (health == null) {
            return;
        }
        health.failures++;
        if (health.failures >= FAILURES) {
            eject(health, nowNanos);
        }
    }

    private void eject(Health health, long now) {
        long out = endpoints.values().stream().filter(h -> h.out(now)).count();
        if (health.out(now) || out + 1 > endpoints.size() * MAX_SHARE) {
            return;
        }
        long span = Math.min(MAX_NANOS, BASE_NANOS << Math.min(health.ejections, 8));
        health.ejections++;
        health.returnNanos = now + span;
        health.settled = false;
        health.failures = 0;
        health.samples = 0;
        health.nanos = 0;
    }

    /**
     * Returns how much of its usual share of work an endpoint may get.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return 0 while it is out, up to 1; 1 for an unknown endpoint
     */
    public synchronized double weight(InstanceId endpoint, long nowNanos) {
        Health health = endpoints.get(endpoint);
        if (health == null || health.settled) {
            return 1;
        }
        if (health.out(nowNanos)) {
            return 0;
        }
        double part = (double) (nowNanos - health.returnNanos) / RAMP_NANOS;
        if (part >= 1) {
            health.settled = true;
            health.ejections = Math.max(0, health.ejections - 1);
            return 1;
        }
        return Math.max(LEAST_WEIGHT, part);
    }

    /**
     * Counts endpoints that are out.
     *
     * @param nowNanos time now
     * @return number of endpoints
     */
    public synchronized int out(long nowNanos) {
        return (int) endpoints.values().stream().filter(h -> h.out(nowNanos)).count();
    }
}
