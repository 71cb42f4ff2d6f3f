package hyssopturn.node;

/**
 * Counts the bytes in direct memory that connections have not sent yet; not thread-safe.
 *
 * <p>A connection without any may exceed the limit by a small piece, so that each one makes
 * progress.
 */
final class WriteMemory {
    private final long limitBytes;
    private long heldBytes;

    /**
     * Creates the memory of a node.
     *
     * @param limitBytes number of bytes from which connections hand on small pieces only
     */
    WriteMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Changes the number of bytes. */
    void add(long bytes) {
        heldBytes += bytes;
    }

    /** Returns how many bytes may be added. */
    long room() {
        return Math.max(0, limitBytes - heldBytes);
    }

    /** Returns the number of bytes. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns the limit, in bytes. */
    long limitBytes() {
        return limitBytes;
    }
}
