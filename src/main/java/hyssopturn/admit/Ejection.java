package hyssopturn.admit;

import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Outlier ejection for one service: excludes endpoints that fail far more often than the others,
 * and readmits them after single trial requests succeeded. Does no I/O; the caller passes in the
 * time.
 *
 * <p>An endpoint is compared with the others, so a fault that all share, such as a link that is
 * down, ejects none for long. At most a fixed share of the listed endpoints is ejected at once.
 * Each further ejection of an endpoint lasts longer, up to a bound. An endpoint that was ejected
 * for silence gets a trial as soon as it answers again. Refusals never eject an endpoint, but one
 * that refuses more than the others is used less.
 */
public final class Ejection {
    /** Greatest share of the listed endpoints that may be ejected at once. */
    static final double MAX_EJECTED_SHARE = 0.5;

    /** Length of the first ejection of an endpoint; it doubles with each further one. */
    static final Duration FIRST_EJECTION = Duration.ofSeconds(1);

    /** Greatest length of an ejection, and time after which an earlier one is forgotten. */
    static final Duration MAX_EJECTION = Duration.ofSeconds(30);

    /** Number of successive successes in trials after which an endpoint is readmitted. */
    static final int TRIAL_SUCCESSES = 5;

    /** Excess over the others' failure rate that ejects; three failures in a row reach it. */
    private static final double MIN_EXCESS = 0.25;

    /** Number of failures in a row that show, if all endpoints have them, a common fault. */
    private static final int COMMON_FAULT_FAILURES = 3;

    /** Time for which an endpoint whose last attempt failed is used after others. */
    static final Duration FAILURE_MEMORY = Duration.ofSeconds(5);

    private static final double SMOOTHING = 0.1;

    /** Reduction of an endpoint's share for each unit of its excess of refusals. */
    private static final double REFUSAL_WEIGHT = 2;

    private static final double MIN_SHARE = 0.1;
    private static final int MAX_DOUBLINGS = 8;

    private final Map<Start, Health> endpoints = new HashMap<>();

    /** Creates an empty table. */
    public Ejection() {}

    /**
     * One start of an endpoint.
     *
     * @param id the endpoint
     * @param incarnation number that tells its starts apart
     */
    public record Start(InstanceId id, long incarnation) {}

    /** How an attempt at an endpoint ended. */
    public enum Outcome {
        /** The endpoint answered. */
        SUCCESS,
        /** The answer was broken or wrong, or the endpoint reported an error. */
        FAILURE,
        /** No answer came in time. */
        SILENCE,
        /** The endpoint refused the request. */
        REFUSAL,
        /** The attempt shows nothing about the endpoint. */
        NONE
    }

    /**
     * An ejection or a return.
     *
     * @param endpoint the endpoint
     * @param ejected true if it was ejected, false if it was readmitted
     * @param length length of the ejection, zero for a return
     */
    public record Change(Start endpoint, boolean ejected, Duration length) {}

    private static final class Health {
        private double failureRate;
        private double refusalRate;
        private int failuresInARow;
        private long firstFailureNanos;
        private boolean onlySilent;
        private long lastSuccessNanos = Long.MIN_VALUE;
        private long lastOutcomeNanos = Long.MIN_VALUE;
        private boolean ejected;
        private long ejectedNanos;
        private long trialNanos;
        private long lengthNanos;
        private int ejections;
        private long returnNanos;
        private int trialSuccesses;
        private int trials;

        void recordSuccess(long now) {
            failureRate -= SMOOTHING * failureRate;
            refusalRate -= SMOOTHING * refusalRate;
            failuresInARow = 0;
            lastSuccessNanos = now;
            lastOutcomeNanos = now;
        }

        void recordFailure(boolean silent, long now) {
            failureRate += SMOOTHING * (1 - failureRate);
            if (failuresInARow++ == 0) {
                firstFailureNanos = now;
                onlySilent = true;
            }
            onlySilent &= silent;
            lastOutcomeNanos = now;
        }

        void eject(long now) {
            if (!ejected && now - returnNanos > MAX_EJECTION.toNanos()) {
                ejections = 0;
            }
            int doublings = Math.min(ejections++, MAX_DOUBLINGS);
            lengthNanos = Math.min(MAX_EJECTION.toNanos(), FIRST_EJECTION.toNanos() << doublings);
            ejected = true;
            ejectedNanos = now;
            trialNanos = now + lengthNanos;
            trialSuccesses = 0;
            trials = 0;
        }

        void readmit(long now) {
            ejected = false;
            returnNanos = now;
            failureRate = 0;
        }
    }

    /**
     * Sets which endpoints are listed, and forgets all others.
     *
     * @param listed endpoints of the service that the list holds
     */
    public synchronized void setEndpoints(Set<Start> listed) {
        endpoints.keySet().retainAll(listed);
        listed.forEach(e -> endpoints.computeIfAbsent(e, start -> new Health()));
    }

    /**
     * Records that an attempt begins.
     *
     * @param endpoint its endpoint
     * @return false if the endpoint is not listed
     */
    public synchronized boolean begin(Start endpoint) {
        Health health = endpoints.get(endpoint);
        if (health != null && health.ejected) {
            health.trials++;
        }
        return health != null;
    }

    /**
     * Records how an attempt ended.
     *
     * @param endpoint its endpoint
     * @param outcome the outcome
     * @param begunNanos when the attempt began
     * @param nowNanos time now
     * @return ejections and returns that follow
     */
    public synchronized List<Change> record(
            Start endpoint, Outcome outcome, long begunNanos, long nowNanos) {
        Health health = endpoints.get(endpoint);
        if (health == null) {
            return List.of();
        }
        boolean trial = health.ejected && begunNanos >= health.ejectedNanos;
        if (trial) {
            health.trials = Math.max(0, health.trials - 1);
        }
        boolean silent = outcome == Outcome.SILENCE;
        return switch (outcome) {
            case SUCCESS -> recordSuccess(endpoint, health, trial, nowNanos);
            case FAILURE, SILENCE -> recordFailure(endpoint, health, trial, silent, nowNanos);
            case REFUSAL -> {
                health.refusalRate += SMOOTHING * (1 - health.refusalRate);
                yield List.of();
            }
            case NONE -> List.of();
        };
    }

    private List<Change> recordSuccess(Start endpoint, Health health, boolean trial, long now) {
        health.recordSuccess(now);
        if (!health.ejected) {
            return List.of();
        }
        if (!trial) {
            endSilence(health, now);
            return List.of();
        }
        if (++health.trialSuccesses < TRIAL_SUCCESSES) {
            return List.of();
        }
        return List.of(readmit(endpoint, health, now));
    }

    /** Allows a trial at once if only silence was held against an endpoint that now answers. */
    private static void endSilence(Health health, long now) {
        if (health.onlySilent) {
            health.trialNanos = Math.min(health.trialNanos, now);
        }
    }

    private List<Change> recordFailure(
            Start endpoint, Health health, boolean trial, boolean silent, long now) {
        if (health.ejected && !trial) {
            return List.of();
        }
        health.recordFailure(silent, now);
        if (commonFault()) {
            return pardonAll(now);
        }
        if (trial) {
            return List.of(
                    standsOut(health)
                            ? eject(endpoint, health, now)
                            : readmit(endpoint, health, now));
        }
        return standsOut(health) && mayEjectAnother()
                ? List.of(eject(endpoint, health, now))
                : List.of();
    }

    private boolean mayEjectAnother() {
        return ejectedCount() + 1 <= endpoints.size() * MAX_EJECTED_SHARE;
    }

    private static Change eject(Start endpoint, Health health, long now) {
        health.eject(now);
        return new Change(endpoint, true, Duration.ofNanos(health.lengthNanos));
    }

    private static Change readmit(Start endpoint, Health health, long now) {
        health.readmit(now);
        return new Change(endpoint, false, Duration.ZERO);
    }

    /** Returns whether an endpoint fails more than the others, which do not fail just now. */
    private boolean standsOut(Health health) {
        return health.failureRate - meanOfOthers(health) >= MIN_EXCESS && !othersFail(health);
    }

    /** Returns the mean failure rate of the better half of the others. */
    private double meanOfOthers(Health health) {
        double[] rates =
                endpoints.values().stream()
                        .filter(h -> h != health && !h.ejected)
                        .filter(h -> h.lastOutcomeNanos != Long.MIN_VALUE)
                        .mapToDouble(h -> h.failureRate)
                        .sorted()
                        .toArray();
        return Arrays.stream(rates).limit((rates.length + 1) / 2).average().orElse(0);
    }

    /** Returns whether the others had outcomes since an endpoint began to fail, but no success. */
    private boolean othersFail(Health health) {
        long since = health.firstFailureNanos;
        return anyOther(health, h -> h.lastOutcomeNanos >= since)
                && !anyOther(health, h -> h.lastSuccessNanos >= since);
    }

    private boolean anyOther(Health health, Predicate<Health> condition) {
        return endpoints.values().stream()
                .anyMatch(h -> h != health && !h.ejected && condition.test(h));
    }

    /** Returns whether all endpoints that are not ejected fail. */
    private boolean commonFault() {
        return endpoints.values().stream()
                .allMatch(h -> h.ejected || h.failuresInARow >= COMMON_FAULT_FAILURES);
    }

    /** Readmits all endpoints and forgets their failures, since a common fault explains them. */
    private List<Change> pardonAll(long now) {
        List<Change> changes = new ArrayList<>();
        endpoints.forEach(
                (endpoint, health) -> {
                    health.failureRate = 0;
                    if (health.ejected) {
                        health.ejections--;
                        changes.add(readmit(endpoint, health, now));
                    }
                });
        return changes;
    }

    /**
     * Returns whether an endpoint may get a request now. An ejected one gets one request at a time
     * when its ejection is over. Requests that must run at most once are spared that as long again,
     * so that a request that may be repeated comes first.
     *
     * @param endpoint the endpoint
     * @param repeatable whether the request may run more than once
     * @param nowNanos time now
     * @return true if it may get the request
     */
    public synchronized boolean admits(Start endpoint, boolean repeatable, long nowNanos) {
        Health health = endpoints.get(endpoint);
        if (health == null || !health.ejected) {
            return true;
        }
        long trialNanos = health.trialNanos + (repeatable ? 0 : health.lengthNanos);
        return nowNanos >= trialNanos && health.trials == 0;
    }

    /**
     * Returns whether the last attempt at an endpoint failed a short time ago.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if others should be used before it
     */
    public synchronized boolean recentlyFailed(Start endpoint, long nowNanos) {
        Health health = endpoints.get(endpoint);
        return health != null
                && health.failuresInARow > 0
                && nowNanos - health.lastOutcomeNanos < FAILURE_MEMORY.toNanos();
    }

    /**
     * Returns the part of its usual requests that an endpoint should get: less than 1 if it refuses
     * more than the others.
     *
     * @param endpoint the endpoint
     * @return a number from 0 to 1
     */
    public synchronized double share(Start endpoint) {
        Health health = endpoints.get(endpoint);
        if (health == null || health.refusalRate == 0) {
            return 1;
        }
        double others =
                endpoints.values().stream()
                        .filter(h -> h != health)
                        .mapToDouble(h -> h.refusalRate)
                        .average()
                        .orElse(health.refusalRate);
        return Math.clamp(1 - REFUSAL_WEIGHT * (health.refusalRate - others), MIN_SHARE, 1);
    }

    /**
     * Returns the ejected endpoints.
     *
     * @return a copy
     */
    public synchronized Set<Start> ejected() {
        Set<Start> ejected = new HashSet<>(endpoints.keySet());
        ejected.removeIf(e -> !endpoints.get(e).ejected);
        return ejected;
    }

    private long ejectedCount() {
        return endpoints.values().stream().filter(h -> h.ejected).count();
    }
}
