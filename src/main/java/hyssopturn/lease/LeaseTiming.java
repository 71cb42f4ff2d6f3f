package hyssopturn.lease;

import hyssopturn.helper.Check;

import java.time.Duration;

/**
 * Spans of a lease, the same at all nodes.
 *
 * @param length how long the lease is held after its record was sent
 * @param margin what a waiter adds, for clocks that run at different rates
 * @param spread greatest random delay of a waiter, so that not all try at once
 */
public record LeaseTiming(Duration length, Duration margin, Duration spread) {
    /** Timing of the duties of the control plane. */
    public static final LeaseTiming STANDARD =
            new LeaseTiming(Duration.ofSeconds(6), Duration.ofSeconds(1), Duration.ofSeconds(2));

    private static final int RENEWALS = 3;

    /** Checks the spans. */
    public LeaseTiming {
        Check.that(length.isPositive(), "length must be positive");
        Check.that(!margin.isNegative(), "margin must not be negative");
        Check.that(!spread.isNegative(), "spread must not be negative");
    }

    Duration renewal() {
        return length.dividedBy(RENEWALS);
    }
}
