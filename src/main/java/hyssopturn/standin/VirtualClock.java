package hyssopturn.standin;

import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.PriorityQueue;

/** Clock whose time moves only when told to; tasks run on the thread that moves it. */
public final class VirtualClock implements Clock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final long wallStartMillis;
    private long now;
    private long sequence;

    /**
     * Creates a clock that stands at zero.
     *
     * @param wallStartMillis wall time at zero, in milliseconds since 1970
     */
    public VirtualClock(long wallStartMillis) {
        this.wallStartMillis = wallStartMillis;
    }

    @Override
    public synchronized long nanos() {
        return now;
    }

    @Override
    public synchronized long wallMillis() {
        return wallStartMillis + now / NANOS_PER_MILLI;
    }

    @Override
    public synchronized Timer after(Duration delay, Runnable task) {
        long due = now + Math.max(0, delay.toNanos());
        Task entry = new Task(due, sequence++, task);
        tasks.add(entry);
        return () -> remove(entry);
    }

    /**
     * Moves time, running every task that falls due in order.
     *
     * @param span how far to move
     */
    public void advance(Duration span) {
        long end = nanos() + span.toNanos();
        while (runNext(end)) {
            // each call runs one task
        }
        synchronized (this) {
            now = Math.max(now, end);
        }
    }

    /**
     * Runs the next task, moving time to it.
     *
     * @param limitNanos latest time to move to
     * @return false if no task is due by then
     */
    public boolean runNext(long limitNanos) {
        Task next = take(limitNanos);
        if (next == null) {
            return false;
        }
        next.task.run();
        return true;
    }

    private synchronized Task take(long limitNanos) {
        Task next = tasks.peek();
        if (next == null || next.due > limitNanos) {
            return null;
        }
        tasks.poll();
        now = Math.max(now, next.due);
        return next;
    }

    private synchronized void remove(Task task) {
        tasks.remove(task);
    }

    private record Task(long due, long sequence, Runnable task) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byDue = Long.compare(due, other.due);
            return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
        }
    }
}
