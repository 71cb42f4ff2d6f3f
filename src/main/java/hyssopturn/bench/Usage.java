package hyssopturn.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Collection;
import java.util.function.Supplier;

/** Readings of what this process uses. */
final class Usage {
    private static final int COLLECTIONS = 5;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Usage() {}

    /**
     * Reads the heap that live objects take, in bytes.
     *
     * <p>The serial collector leaves dead objects in place in most collections and moves them out
     * only in every fourth, so the least of several readings is the true one.
     */
    static long heapBytes() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            least =
                    Math.min(
                            least,
                            ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        }
        return least;
    }

    /** Reads the processor time of the current thread, in microseconds. */
    static double cpuMicros() {
        return THREADS.getCurrentThreadCpuTime() / 1e3;
    }

    /** Reads the processor time of some threads, in microseconds. */
    static double cpuMicros(Collection<Long> threads) {
        return threads.stream().mapToLong(THREADS::getThreadCpuTime).sum() / 1e3;
    }

    /** Measures the heap that a structure takes, in bytes. */
    static double heldBytes(Supplier<?> build) {
        long before = heapBytes();
        Object[] held = {build.get()};
        double bytes = heapBytes() - before;
        // cleared here, after the reading, so that the next reading starts without it
        held[0] = null;
        return bytes;
    }

    /** Measures the processor time that a task takes on this thread, in microseconds. */
    static double cpuMicros(Runnable task) {
        double before = cpuMicros();
        task.run();
        return cpuMicros() - before;
    }
}
