package hyssopturn.node;

/**
 * Sizes of the receive buffers of callers' connections, so that the system holds no more than a
 * limit of bytes that have arrived and were not read.
 *
 * <p>The more connections are open, the smaller is the buffer of the next one. A connection keeps
 * the size that it got. The i-th oldest of the open ones got it when at least the older ones were
 * open, so all of them together stay within the limit, in whatever order they come and go.
 */
final class ReceiveBuffers {
    /** Bytes that the system may hold for each byte of a receive buffer. */
    static final int HELD_PER_BYTE = 2;

    /** Part of the connections up to which buffers are hardly reduced, as a divisor. */
    private static final int CALM_DIVISOR = 32;

    private static final int MIN_BYTES = 1_024;
    private static final int MAX_BYTES = 262_144;

    private final long limitBytes;
    private final double sharedBytes;
    private final double calmConnections;

    /**
     * Creates the sizes.
     *
     * @param limitBytes maximum number of bytes that the system holds for all connections
     * @param connections maximum number of connections
     */
    ReceiveBuffers(long limitBytes, int connections) {
        this.limitBytes = limitBytes;
        calmConnections = (double) connections / CALM_DIVISOR;
        double parts = 1 / calmConnections + Math.log1p(CALM_DIVISOR);
        sharedBytes = limitBytes / (HELD_PER_BYTE * parts);
    }

    /** Returns the maximum number of bytes that the system holds. */
    long limitBytes() {
        return limitBytes;
    }

    /**
     * Returns the size for the next connection, a power of two.
     *
     * @param open number of connections that are open besides
     * @return size of the receive buffer, in bytes
     */
    int next(int open) {
        double part = sharedBytes / (open + calmConnections);
        int bytes = (int) Math.min(MAX_BYTES, Math.max(MIN_BYTES, part));
        return Integer.highestOneBit(bytes);
    }
}
