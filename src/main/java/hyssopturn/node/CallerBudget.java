package hyssopturn.node;

/**
 * Limits on what callers occupy together in a node.
 *
 * @param memoryPercent part of the heap, in percent
 * @param connections maximum number of connections, 0 for a part of the process's descriptors
 */
public record CallerBudget(int memoryPercent, int connections) {
    private static final int PERCENT = 100;

    /** Part of the descriptors for callers; engines, store and readiness have the others. */
    private static final double DESCRIPTOR_SHARE = 0.6;

    /** Part of the descriptors for callers and for the requests that they have in progress. */
    private static final double REQUEST_SHARE = 0.8;

    /** Descriptors that the node opens for itself after its start: servers, store, files. */
    private static final int OWN_DESCRIPTORS = 16;

    /** Returns the maximum number of bytes. */
    long memoryBytes(long heapBytes) {
        return heapBytes / PERCENT * memoryPercent;
    }

    /** Returns the maximum number of connections of a process. */
    int connections(long descriptors) {
        long derived = Math.max(1, (long) (shared(descriptors) * DESCRIPTOR_SHARE));
        return connections > 0 ? connections : (int) Math.min(Integer.MAX_VALUE, derived);
    }

    /** Returns the maximum number of descriptors of callers and their requests. */
    int requests(long descriptors) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(2, shared(descriptors) * REQUEST_SHARE));
    }

    private static long shared(long descriptors) {
        return Math.max(0, descriptors - OWN_DESCRIPTORS);
    }
}
