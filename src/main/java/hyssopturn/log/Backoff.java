package hyssopturn.log;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with random jitter, so that many nodes do not retry at the same moment. */
public final class Backoff {
    private static final Duration INITIAL_SPAN = Duration.ofMillis(50);
    private static final Duration MAX_SPAN = Duration.ofSeconds(1);

    private final RandomGenerator random;
    private final Duration maxSpan;
    private long spanNanos = INITIAL_SPAN.toNanos();

    /**
     * Creates a backoff with the default greatest span.
     *
     * @param random source of the jitter
     */
    public Backoff(RandomGenerator random) {
        this(random, MAX_SPAN);
    }

    /**
     * Creates a backoff.
     *
     * @param random source of the jitter
     * @param maxSpan greatest span of the delays
     */
    public Backoff(RandomGenerator random, Duration maxSpan) {
        this.random = random;
        this.maxSpan = maxSpan;
    }

    /**
     * Returns the delay before the next retry.
     *
     * @return a delay of half to one and a half times the current span, which then doubles up to
     *     the greatest one
     */
    public Duration next() {
        long delay = spanNanos / 2 + random.nextLong(spanNanos);
        spanNanos = Math.min(spanNanos * 2, maxSpan.toNanos());
        return Duration.ofNanos(delay);
    }

    /** Resets the span to its initial value, after a success. */
    public void reset() {
        spanNanos = INITIAL_SPAN.toNanos();
    }
}
