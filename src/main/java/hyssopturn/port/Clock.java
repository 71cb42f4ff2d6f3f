package hyssopturn.port;

import java.time.Duration;

/** Time and timers; virtual in tests. */
public interface Clock {
    /**
     * Reads monotonic time.
     *
     * @return nanoseconds since some fixed moment
     */
    long nanos();

    /**
     * Reads wall time, which may jump.
     *
     * @return milliseconds since 1970
     */
    long wallMillis();

    /**
     * Runs a task later.
     *
     * @param delay how much later
     * @param task what to run
     * @return handle that cancels it
     */
    Timer after(Duration delay, Runnable task);

    /** Handle of a task that is due later. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task if it has not run. */
        void cancel();
    }
}
