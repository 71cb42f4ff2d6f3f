package hyssopturn.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of requests for each service. Does no I/O; the caller passes in the time.
 *
 * <p>The operator's budget is for all nodes together over a sliding window: a ratio of the requests
 * plus a fixed number of retries. Each node uses that ratio of its own requests and its even share
 * of the fixed number, so nodes need not exchange their counts. This limits the load of retries
 * after a fault that makes many requests fail at once.
 */
public final class RetryBudget {
    /** Number of parts that the window is divided into. */
    private static final int WINDOW_PARTS = 20;

    /**
     * Number of counters; one more than the parts, so that they never span less than the window.
     */
    private static final int BUCKETS = WINDOW_PARTS + 1;

    /** Part of the budget that is used, so that windows with other boundaries stay within it. */
    private static final double SAFETY_FACTOR = 0.8;

    /** Part of the budget that is open to requests whose answer has not started. */
    private static final double NOT_STARTED_PART = 0.7;

    /** Part of the budget that may be used to replace attempts that are only silent. */
    private static final double SILENT_PART = 0.5;

    private final double ratio;
    private final double fixed;
    private double share;
    private final long bucketNanos;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param ratio number of retries that each request adds to the budget
     * @param windowNanos length of the window, in nanoseconds
     * @param fixed number of retries of all nodes together that do not depend on requests
     * @param share this node's share of the fixed number, from 0 to 1
     */
    public RetryBudget(double ratio, long windowNanos, double fixed, double share) {
        this.share = share;
        this.ratio = ratio;
        this.fixed = fixed;
        bucketNanos = windowNanos / WINDOW_PARTS;
    }

    private static final class Window {
        private final long[] requests = new long[BUCKETS];
        private final long[] retries = new long[BUCKETS];
        private final long[] replacements = new long[BUCKETS];
        private long bucket;

        void advance(long newest) {
            for (long i = Math.max(bucket + 1, newest - BUCKETS + 1); i <= newest; i++) {
                requests[(int) (i % BUCKETS)] = 0;
                retries[(int) (i % BUCKETS)] = 0;
                replacements[(int) (i % BUCKETS)] = 0;
            }
            bucket = Math.max(bucket, newest);
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
     * Sets this node's share of the fixed number.
     *
     * @param part the share, from 0 to 1; the sum over all nodes must not exceed 1
     */
    public void share(double part) {
        share = part;
    }

    /**
     * State of the answer for which a retry is wanted. Retries come first if the caller has
     * received a part of an answer that has failed, and last if the present attempt may still
     * answer.
     */
    public enum AnswerState {
        /** The answer has started and is lost without a retry. */
        STARTED,
        /** The caller has received nothing yet. */
        NOT_STARTED,
        /** The endpoint says nothing, but nothing shows that the attempt has failed. */
        SILENT
    }

    /**
     * Records a request of a caller.
     *
     * @param service service of the request
     * @param nowNanos current time, not negative
     */
    public void recordRequest(String service, long nowNanos) {
        Window window = window(service, nowNanos);
        window.requests[(int) (window.bucket % BUCKETS)]++;
    }

    /**
     * Returns whether the budget allows a retry, without using it.
     *
     * @param service service of the request
     * @param answerState state of the answer
     * @param nowNanos current time, not negative
     * @return true if a retry is allowed
     */
    public boolean allows(String service, AnswerState answerState, long nowNanos) {
        Window window = window(service, nowNanos);
        double allowed = allowed(window);
        long next = Window.sum(window.retries) + 1;
        return switch (answerState) {
            case STARTED -> next <= allowed;
            case NOT_STARTED -> next <= allowed * NOT_STARTED_PART;
            case SILENT ->
                    next <= allowed * NOT_STARTED_PART
                            && Window.sum(window.replacements) + 1 <= allowed * SILENT_PART;
        };
    }

    private double allowed(Window window) {
        return SAFETY_FACTOR * (ratio * Window.sum(window.requests) + share * fixed);
    }

    /**
     * Uses the budget for one retry if it allows one.
     *
     * @param service service of the request
     * @param answerState state of the answer
     * @param nowNanos current time, not negative
     * @return true if the retry is allowed and was counted
     */
    public boolean tryAcquire(String service, AnswerState answerState, long nowNanos) {
        if (!allows(service, answerState, nowNanos)) {
            return false;
        }
        record(service, answerState, nowNanos);
        return true;
    }

    /**
     * Uses the budget for one retry that it was found to allow.
     *
     * @param service service of the request
     * @param answerState state of the answer
     * @param nowNanos current time, not negative
     */
    public void record(String service, AnswerState answerState, long nowNanos) {
        Window window = window(service, nowNanos);
        window.retries[(int) (window.bucket % BUCKETS)]++;
        if (answerState == AnswerState.SILENT) {
            window.replacements[(int) (window.bucket % BUCKETS)]++;
        }
    }
}
