package hyssopturn.member;

/** Token bucket that limits the bytes sent in any period to rate times period plus burst. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double bytesPerSecond;
    private final double burstBytes;
    private double tokens;
    private long lastNanos;

    TokenBucket(double bytesPerSecond, double burstBytes, long now) {
        this.bytesPerSecond = bytesPerSecond;
        this.burstBytes = burstBytes;
        tokens = burstBytes;
        lastNanos = now;
    }

    /** Returns the bytes that may be sent now if a share of the burst stays unused. */
    int available(long now, double keptShare) {
        refill(now);
        return (int) Math.max(0, tokens - keptShare * burstBytes);
    }

    /** Consumes tokens for a message if there are enough; returns whether there were. */
    boolean tryConsume(int bytes, long now) {
        refill(now);
        if (bytes > tokens) {
            return false;
        }
        tokens -= bytes;
        return true;
    }

    private void refill(long now) {
        double seconds = Math.max(0, now - lastNanos) / NANOS_PER_SECOND;
        tokens = Math.min(burstBytes, tokens + seconds * bytesPerSecond);
        lastNanos = Math.max(lastNanos, now);
    }
}
