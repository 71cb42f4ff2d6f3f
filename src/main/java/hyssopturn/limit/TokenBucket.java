package hyssopturn.limit;

import java.time.Duration;

/** Token bucket whose rate may change; a new one holds one token. Not thread-safe. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Number of tokens that a bucket holds, beside a part of what flows into it in a second. */
    private static final double BASE_CAPACITY = 2;

    private static final double CAPACITY_SECONDS = 0.1;

    private double tokens = 1;
    private double perSecond;
    private long filledNanos;

    /** Creates a bucket with one token. */
    TokenBucket(double perSecond, long nowNanos) {
        this.perSecond = perSecond;
        filledNanos = nowNanos;
    }

    /** Sets the rate from now on, in tokens per second; positive. */
    void rate(double value, long nowNanos) {
        fill(nowNanos);
        perSecond = value;
    }

    /** Takes a token; returns false if there is none. */
    boolean tryTake(long nowNanos) {
        fill(nowNanos);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time until the bucket holds a token. */
    Duration untilToken(long nowNanos) {
        fill(nowNanos);
        double seconds = Math.max(0, 1 - tokens) / perSecond;
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    private void fill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
        double capacity = BASE_CAPACITY + perSecond * CAPACITY_SECONDS;
        tokens = Math.min(capacity, tokens + seconds * perSecond);
        filledNanos = Math.max(filledNanos, nowNanos);
    }
}
