package hyssopturn.node;

import hyssopturn.relay.CallerMemory;

/** The part of the memory of callers that one connection occupies; not thread-safe. */
final class MemoryPart {
    private final CallerMemory memory;
    private long bytes;

    MemoryPart(CallerMemory memory) {
        this.memory = memory;
    }

    /** Returns the size, in bytes. */
    long bytes() {
        return bytes;
    }

    /** Sets the size of what exists already. */
    void set(long size) {
        long change = size - bytes;
        bytes = size;
        memory.add(change);
    }

    /** Sets the size; returns false if it does not fit, in which case it is unchanged. */
    boolean acquire(long size) {
        if (!memory.acquire(size - bytes)) {
            return false;
        }
        bytes = size;
        return true;
    }

    /** Releases all of it. */
    void release() {
        set(0);
    }
}
