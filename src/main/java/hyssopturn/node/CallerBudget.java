package hyssopturn.node;

/**
 * Limits on what callers occupy together in a node.
 *
 * @param memoryPercent part of the heap, in percent
 * @param connections maximum number of connections, 0 for a part of the process's descriptors
 * @param unreadMegabytes size of what the system may hold for callers' connections, received and
 *     not read, in megabytes; 0 for what the process leaves of its machine's memory
 */
public record CallerBudget(int memoryPercent, int connections, int unreadMegabytes) {
    private static final int PERCENT = 100;
    private static final long BYTES_PER_MEGABYTE = 1L << 20;

    /** Part of the descriptors for callers; engines, store and readiness have the others. */
    private static final double DESCRIPTOR_SHARE = 0.6;

    /** Part of the descriptors for callers and for the requests that they have in progress. */
    private static final double REQUEST_SHARE = 0.8;

    /** The same part of the sockets, of which files need none. */
    private static final double REQUEST_SOCKET_SHARE = 0.9;

    /** Descriptors that the node opens for itself after its start: servers, store, files. */
    private static final int OWN_DESCRIPTORS = 16;

    /** Returns the maximum number of bytes. */
    long memoryBytes(long heapBytes) {
        return heapBytes / PERCENT * memoryPercent;
    }

    /** Returns the maximum number of bytes that the system holds, received and not read. */
    long unreadBytes(ProcessMemory memory) {
        return unreadMegabytes > 0 ? unreadMegabytes * BYTES_PER_MEGABYTE : memory.unreadBytes();
    }

    /** Returns the maximum number of connections of a process. */
    int connections(DescriptorRoom room) {
        long least = Math.min(shared(room.all()), shared(room.sockets()));
        long derived = Math.max(1, (long) (least * DESCRIPTOR_SHARE));
        return connections > 0 ? connections : (int) Math.min(Integer.MAX_VALUE, derived);
    }

    /** Returns the maximum number of descriptors of callers and their requests. */
    int requests(DescriptorRoom room) {
        double all = shared(room.all()) * REQUEST_SHARE;
        double sockets = shared(room.sockets()) * REQUEST_SOCKET_SHARE;
        return (int) Math.min(Integer.MAX_VALUE, Math.max(2, Math.min(all, sockets)));
    }

    private static long shared(long descriptors) {
        return Math.max(0, descriptors - OWN_DESCRIPTORS);
    }
}
