package hyssopturn.relay;

import java.time.Duration;
import java.util.Arrays;

/** What a {@link MovesSimulation} counts over all nodes. */
final class LoadFigures {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_PAUSE_MILLIS = 60_000;

    private final double ratio;
    private final double fixed;
    private final Times requests = new Times();
    private final Times retries = new Times();
    private final int[] pauses = new int[MAX_PAUSE_MILLIS];
    private long runs;
    private long cancelled;
    private long workNanos;
    private long uselessNanos;
    private int complete;
    private int cut;
    private int refused;

    /** Times in ascending order. */
    private static final class Times {
        private long[] nanos = new long[1_000];
        private int size;

        void add(long time) {
            if (size == nanos.length) {
                nanos = Arrays.copyOf(nanos, 2 * size);
            }
            nanos[size++] = time;
        }
    }

    /**
     * Creates figures of nothing.
     *
     * @param ratio number of retries that the operators allow for each request
     * @param fixed number of retries that they allow besides
     */
    LoadFigures(double ratio, double fixed) {
        this.ratio = ratio;
        this.fixed = fixed;
    }

    void recordRequest(long nowNanos) {
        requests.add(nowNanos);
    }

    /** Records that a request arrived at an engine, not for the first time. */
    void recordRetry(long nowNanos) {
        retries.add(nowNanos);
    }

    /** Records that an engine accepted an attempt. */
    void recordRun() {
        runs++;
    }

    /** Records the time that an engine spent on an attempt. */
    void recordWork(long nanos) {
        workNanos += nanos;
    }

    /** Records that an attempt which an engine had accepted was cancelled. */
    void recordCancelled(long withoutUseNanos) {
        cancelled++;
        uselessNanos += withoutUseNanos;
    }

    void recordPause(long nanos) {
        pauses[(int) Math.min(nanos / NANOS_PER_MILLI, MAX_PAUSE_MILLIS - 1)]++;
    }

    void recordEnd(StreamWorld.Outcome how, boolean begun) {
        if (how == StreamWorld.Outcome.COMPLETE) {
            complete++;
        } else if (begun) {
            cut++;
        } else {
            refused++;
        }
    }

    /** Returns the number of streams that have ended. */
    int streams() {
        return complete + cut + refused;
    }

    int retries() {
        return retries.size;
    }

    /** Returns the number of streams that ended after their first event and before their last. */
    int cut() {
        return cut;
    }

    /** Returns the number of streams that ended before their first event. */
    int refused() {
        return refused;
    }

    /** Returns the largest part of the operators' budget that arrived in any window. */
    double mostUsed() {
        double most = 0;
        int firstRetry = 0;
        int firstRequest = 0;
        int afterRequest = 0;
        for (int i = 0; i < retries.size; i++) {
            long end = retries.nanos[i];
            firstRetry = after(retries, firstRetry, end - WINDOW_NANOS);
            firstRequest = after(requests, firstRequest, end - WINDOW_NANOS);
            afterRequest = after(requests, afterRequest, end);
            double allowed = ratio * (afterRequest - firstRequest) + fixed;
            most = Math.max(most, (i + 1 - firstRetry) / allowed);
        }
        return most;
    }

    /** Returns the index of the first time that is later than another one. */
    private static int after(Times times, int from, long nanos) {
        int index = from;
        while (index < times.size && times.nanos[index] <= nanos) {
            index++;
        }
        return index;
    }

    /** Returns the attempts that were cancelled after they had begun, as a part of all. */
    double thrownAway() {
        return (double) cancelled / runs;
    }

    /** Returns the time of engines on cancelled attempts without an event, as a part of all. */
    double uselessTime() {
        return (double) uselessNanos / workNanos;
    }

    /** Returns the pause between events, in milliseconds, that a part of them does not exceed. */
    int pauseMillis(double part) {
        long all = Arrays.stream(pauses).asLongStream().sum();
        long counted = 0;
        for (int millis = 0; millis < pauses.length; millis++) {
            counted += pauses[millis];
            if (counted >= part * all) {
                return millis;
            }
        }
        return MAX_PAUSE_MILLIS;
    }
}
