package hyssopturn.node;

import com.google.common.flogger.FluentLogger;

import hyssopturn.model.MachineLimits;

import io.netty.util.internal.PlatformDependent;

/**
 * How the memory of this process is divided.
 *
 * @param heapBytes maximum size of the heap
 * @param directBytes maximum size of direct memory
 * @param unreadBytes size of what the system may hold for connections, received and not read
 */
record ProcessMemory(long heapBytes, long directBytes, long unreadBytes) {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Memory of the JVM besides heap and direct memory: code, classes, stacks, collector. */
    private static final long JVM_BYTES = 96L << 20;

    /** Least size of what the system may hold, so that callers are served at all. */
    private static final long MIN_UNREAD_BYTES = 4L << 20;

    /** Size of what the system may hold if the machine is unknown, as a divisor of the heap. */
    private static final int UNREAD_HEAP_DIVISOR = 4;

    /** Returns the division for the options that this JVM was started with. */
    static ProcessMemory of(MachineLimits machine) {
        return of(machine, Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
    }

    /** Returns the division for given sizes of heap and direct memory. */
    static ProcessMemory of(MachineLimits machine, long heapBytes, long directBytes) {
        long left =
                machine.memoryBytes().isPresent()
                        ? machine.memoryBytes().getAsLong() - heapBytes - directBytes - JVM_BYTES
                        : heapBytes / UNREAD_HEAP_DIVISOR;
        if (left < MIN_UNREAD_BYTES) {
            logger.atWarning().log(
                    "a heap of %d and direct memory of %d bytes do not fit the machine: %s",
                    heapBytes, directBytes, machine);
        }
        return new ProcessMemory(heapBytes, directBytes, Math.max(MIN_UNREAD_BYTES, left));
    }
}
