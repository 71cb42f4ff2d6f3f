package hyssopturn.member;

/** Bound on the bytes sent in any span of time: rate times span plus burst. */
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

    /** Bytes that may be sent now, keeping a part of the burst for others. */
    int available(long now, double keptShare) {
        refill(now);
        return (int) Math.max(0, tokens - keptShare * burstBytes);
    }

    /** Takes bytes if there are enough. */
    boolean take(int bytes, long now) {
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
