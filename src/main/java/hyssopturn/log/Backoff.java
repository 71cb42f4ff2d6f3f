package hyssopturn.log;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Growing delays between retries, spread at random so that many nodes do not retry together. */
public final class Backoff {
    private static final Duration FIRST = Duration.ofMillis(50);
    private static final Duration LAST = Duration.ofSeconds(1);

    private final RandomGenerator random;
    private final Duration last;
    private long spanNanos = FIRST.toNanos();

    /**
     * Creates delays that start small.
     *
     * @param random spreads the delays
     */
    public Backoff(RandomGenerator random) {
        this(random, LAST);
    }

    /**
     * Creates delays that start small.
     *
     * @param random spreads the delays
     * @param last span that the delays grow up to
     */
    public Backoff(RandomGenerator random, Duration last) {
        this.random = random;
        this.last = last;
    }

    /**
     * Chooses the delay before the next retry.
     *
     * @return a delay of half to one and a half times the present span, which then doubles up to
     *     the last one
     */
    public Duration next() {
        long delay = spanNanos / 2 + random.nextLong(spanNanos);
        spanNanos = Math.min(spanNanos * 2, last.toNanos());
        return Duration.ofNanos(delay);
    }

    /** Starts anew with small delays, after a success. */
    public void reset() {
        spanNanos = FIRST.toNanos();
    }
}
