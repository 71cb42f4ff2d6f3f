package hyssopturn.node;

import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** System clock whose timers run on a dedicated thread pool. */
public final class SystemClock implements Clock, AutoCloseable {
    private final ScheduledThreadPoolExecutor timers;

    /**
     * Creates the clock.
     *
     * @param threads number of threads that run timers
     */
    public SystemClock(int threads) {
        timers =
                new ScheduledThreadPoolExecutor(
                        threads, Thread.ofPlatform().daemon().name("timer-", 0).factory());
        timers.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        ScheduledFuture<?> future =
                timers.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        timers.shutdownNow();
    }
}
