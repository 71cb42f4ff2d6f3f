package hyssopturn.port;

import java.time.Duration;

/** Clock and timers; replaced by virtual time in tests. */
public interface Clock {
    /**
     * Reads the monotonic clock.
     *
     * @return nanoseconds since an arbitrary fixed origin
     */
    long nanos();

    /**
     * Reads the wall clock, which may jump.
     *
     * @return milliseconds since the epoch of 1970
     */
    long wallMillis();

    /**
     * Schedules a task.
     *
     * @param delay delay before the task runs
     * @param task task to run
     * @return handle that cancels the task
     */
    Timer after(Duration delay, Runnable task);

    /** Handle of a scheduled task. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task if it has not run. */
        void cancel();
    }
}
