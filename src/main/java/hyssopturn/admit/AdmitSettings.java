package hyssopturn.admit;

import hyssopturn.helper.Check;

/**
 * Settings of admission control.
 *
 * @param policy order in which waiting requests start
 * @param limit how concurrency is limited
 * @param initialLimit number of requests that may run at once before any latency was observed, for
 *     each model or service
 * @param maxLimit greatest number of requests that may run at once, for each model or service
 * @param queueCapacity greatest number of waiting requests, for each model or service
 */
public record AdmitSettings(
        Policy policy, LimitKind limit, int initialLimit, int maxLimit, int queueCapacity) {
    private static final int INITIAL_LIMIT = 32;
    private static final int MAX_LIMIT = 20_000;
    private static final int QUEUE_CAPACITY = 20_000;

    /** Checks the values. */
    public AdmitSettings {
        Check.notNull(policy, "policy");
        Check.notNull(limit, "limit kind");
        Check.inRange(maxLimit, 1, Integer.MAX_VALUE, "greatest limit");
        Check.inRange(initialLimit, 1, maxLimit, "initial limit");
        Check.inRange(queueCapacity, 1, Integer.MAX_VALUE, "queue capacity");
    }

    /**
     * Returns the default settings.
     *
     * @return fair order under a gradient limit
     */
    public static AdmitSettings standard() {
        return of(Policy.FAIR, LimitKind.GRADIENT);
    }

    /**
     * Returns settings of a policy and a limit with default sizes.
     *
     * @param policy order in which waiting requests start
     * @param limit how concurrency is limited
     * @return the settings
     */
    public static AdmitSettings of(Policy policy, LimitKind limit) {
        return new AdmitSettings(policy, limit, INITIAL_LIMIT, MAX_LIMIT, QUEUE_CAPACITY);
    }
}
