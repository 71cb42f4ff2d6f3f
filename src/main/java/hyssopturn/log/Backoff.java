package hyssopturn.log;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Growing delays between retries, spread at random so that many nodes do not retry together. */
public final class Backoff {
    private static final Duration FIRST = Duration.ofMillis(50);
    private static final Duration LAST = Duration.ofSeconds(1);

    private final RandomGenerator random;
    private long spanNanos = FIRST.toNanos();

    /**
     * Creates delays that start small.
     *
     * @param random spreads the delays
     */
    public Backoff(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the delay before the next retry.
     *
     * @return a delay of half to one and a half times the present span, which then doubles up to
     *     one second
     */
    public Duration next() {
        long delay = spanNanos / 2 + random.nextLong(spanNanos);
        spanNanos = Math.min(spanNanos * 2, LAST.toNanos());
        return Duration.ofNanos(delay);
    }

    /** Starts anew with small delays, after a success. */
    public void reset() {
        spanNanos = FIRST.toNanos();
    }
}
