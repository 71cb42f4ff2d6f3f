package hyssopturn.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * How often requests may be sent to endpoints again, by service; pure.
 *
 * <p>The operator's budget counts all nodes together over a sliding window: a part of the requests
 * and a fixed number. Each node keeps to that part of its own requests and to its even share of the
 * fixed number, so no node needs to know of the others. Answers the load of a fault that makes many
 * requests fail at once.
 */
public final class RetryAllowance {
    /** Parts that the window is divided into. */
    private static final int PARTS = 20;

    /** One part more, so that the counts never span less than the window. */
    private static final int BUCKETS = PARTS + 1;

    /** Part of the allowance that is used, so that windows cut at other moments keep to it. */
    private static final double MARGIN = 0.8;

    /** Part of the allowance that requests may use of which the caller has nothing yet. */
    private static final double NEW_PART = 0.7;

    private final double ratio;
    private final double fixed;
    private double share;
    private final long bucketNanos;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates an allowance.
     *
     * @param ratio retries for each request
     * @param windowNanos length of the window, in nanoseconds
     * @param fixed retries that all nodes together may send without requests
     * @param share this node's part of these, from 0 to 1
     */
    public RetryAllowance(double ratio, long windowNanos, double fixed, double share) {
        this.share = share;
        this.ratio = ratio;
        this.fixed = fixed;
        bucketNanos = windowNanos / PARTS;
    }

    private static final class Window {
        private final long[] requests = new long[BUCKETS];
        private final long[] retries = new long[BUCKETS];
        private long bucket;

        void advance(long to) {
            for (long at = Math.max(bucket + 1, to - BUCKETS + 1); at <= to; at++) {
                requests[(int) (at % BUCKETS)] = 0;
                retries[(int) (at % BUCKETS)] = 0;
            }
            bucket = Math.max(bucket, to);
        }

        static long sum(long[] counts) {
            long sum = 0;
            for (long count : counts) {
                sum += count;
            }
            return sum;
        }
    }

    private Window window(String service, long nowNanos) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.advance(nowNanos / bucketNanos);
        return window;
    }

    /**
     * Sets this node's part of the fixed number.
     *
     * @param part from 0 to 1; the parts of all nodes make up 1 at most
     */
    public void share(double part) {
        share = part;
    }

    /** What a retry is for. */
    public enum Need {
        /** An answer that has begun, which is lost without it. */
        BEGUN,
        /** A request of which the caller has nothing yet. */
        NEW
    }

    /**
     * Notes a request of a caller.
     *
     * @param service its service
     * @param nowNanos time now, from 0
     */
    public void request(String service, long nowNanos) {
        Window window = window(service, nowNanos);
        window.requests[(int) (window.bucket % BUCKETS)]++;
    }

    /**
     * Tells whether a request may be sent once more, without counting it.
     *
     * @param service its service
     * @param need what it is for
     * @param nowNanos time now, from 0
     * @return true if it may be sent
     */
    public boolean allows(String service, Need need, long nowNanos) {
        Window window = window(service, nowNanos);
        double allowed = MARGIN * (ratio * Window.sum(window.requests) + share * fixed);
        if (need == Need.NEW) {
            allowed *= NEW_PART;
        }
        return Window.sum(window.retries) + 1 <= allowed;
    }

    /**
     * Asks to send a request once more.
     *
     * @param service its service
     * @param need what it is for
     * @param nowNanos time now, from 0
     * @return true if it may be sent, which is counted
     */
    public boolean retry(String service, Need need, long nowNanos) {
        if (!allows(service, need, nowNanos)) {
            return false;
        }
        Window window = window(service, nowNanos);
        window.retries[(int) (window.bucket % BUCKETS)]++;
        return true;
    }
}
