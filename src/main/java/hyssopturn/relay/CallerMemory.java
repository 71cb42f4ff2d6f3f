package hyssopturn.relay;

/**
 * Limits the bytes that callers occupy in a node: connections, heads, bodies, requests that wait
 * behind others, and answers that their callers have not read; not thread-safe.
 */
public final class CallerMemory {
    private final long limitBytes;
    private long heldBytes;
    private Runnable relief = () -> {};

    /**
     * Creates the memory of a node.
     *
     * @param limitBytes maximum number of bytes
     */
    public CallerMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Returns the size of all that callers occupy.
     *
     * @return number of bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns the limit.
     *
     * @return number of bytes
     */
    public long limitBytes() {
        return limitBytes;
    }

    /**
     * Sets what is run when the limit is reached, which may release memory at once or later.
     *
     * @param task releases memory
     */
    public void whenFull(Runnable task) {
        relief = task;
    }

    /**
     * Changes the number of bytes unless they do not fit.
     *
     * @param bytes number of bytes to add, negative to remove some
     * @return false if they do not fit, in which case they are not added
     */
    public boolean acquire(long bytes) {
        if (bytes > 0 && heldBytes + bytes > limitBytes) {
            relief.run();
            if (heldBytes + bytes > limitBytes) {
                return false;
            }
        }
        heldBytes += bytes;
        return true;
    }

    /**
     * Changes the number of bytes, even beyond the limit, for what exists already.
     *
     * @param bytes number of bytes to add, negative to remove some
     */
    public void add(long bytes) {
        heldBytes += bytes;
        if (bytes > 0 && heldBytes > limitBytes) {
            relief.run();
        }
    }

    /** Asks for memory to be released, since some does not fit. */
    void relieve() {
        relief.run();
    }
}
