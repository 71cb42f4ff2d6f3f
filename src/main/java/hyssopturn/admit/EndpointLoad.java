package hyssopturn.admit;

import hyssopturn.model.InstanceId;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the current load of endpoints from delayed reports and from the requests that this node
 * and its peers have there.
 *
 * <p>A report holds the number of requests that an endpoint had some time ago, including those of
 * this node. The load from other nodes is that number less the requests that this node had there at
 * that time, or the sum of the counts that peers sent for the endpoint if there are any. The load
 * from this node is known exactly.
 */
public final class EndpointLoad {
    private static final long HISTORY_NANOS = 10_000_000_000L;
    private static final int MAX_HISTORY = 512;

    private final Map<InstanceId, Entry> entries = new HashMap<>();

    /** Creates an empty table. */
    public EndpointLoad() {}

    private record OwnChange(long atNanos, int ownBefore) {}

    private static final class Entry {
        private final Deque<OwnChange> ownChanges = new ArrayDeque<>();
        private final Map<InstanceId, Integer> peerRequests = new HashMap<>();
        private int ownRequests;
        private double otherRequests;

        void changeOwn(int delta, long now) {
            ownChanges.addLast(new OwnChange(now, ownRequests));
            ownRequests = Math.max(0, ownRequests + delta);
            while (ownChanges.size() > MAX_HISTORY
                    || ownChanges.peekFirst().atNanos() < now - HISTORY_NANOS) {
                ownChanges.removeFirst();
            }
        }

        /** Returns the number of own requests at a time; a change holds the number before it. */
        int ownRequestsAt(long atNanos) {
            for (OwnChange change : ownChanges) {
                if (change.atNanos() > atNanos) {
                    return change.ownBefore();
                }
            }
            return ownRequests;
        }
    }

    private Entry entry(InstanceId endpoint) {
        return entries.computeIfAbsent(endpoint, id -> new Entry());
    }

    /**
     * Records that this node sent a request.
     *
     * @param endpoint endpoint of the request
     * @param nowNanos time now, in nanoseconds
     */
    public synchronized void recordSent(InstanceId endpoint, long nowNanos) {
        entry(endpoint).changeOwn(1, nowNanos);
    }

    /**
     * Records that a request of this node ended.
     *
     * @param endpoint endpoint of the request
     * @param nowNanos time now, in nanoseconds
     */
    public synchronized void recordEnded(InstanceId endpoint, long nowNanos) {
        entry(endpoint).changeOwn(-1, nowNanos);
    }

    /**
     * Records the report of an endpoint.
     *
     * @param endpoint the endpoint
     * @param requests number of requests in the report
     * @param atNanos time of the count, in nanoseconds
     */
    public synchronized void recordReport(InstanceId endpoint, int requests, long atNanos) {
        Entry entry = entry(endpoint);
        entry.otherRequests = Math.max(0, requests - entry.ownRequestsAt(atNanos));
    }

    /**
     * Records how many requests a peer has at an endpoint.
     *
     * @param peer the peer
     * @param endpoint the endpoint
     * @param requests number of requests; 0 removes the peer's count
     */
    public synchronized void recordPeerRequests(
            InstanceId peer, InstanceId endpoint, int requests) {
        Entry entry = entry(endpoint);
        if (requests == 0) {
            entry.peerRequests.remove(peer);
        } else {
            entry.peerRequests.put(peer, requests);
        }
    }

    /**
     * Estimates the current load of an endpoint.
     *
     * @param endpoint the endpoint
     * @return estimated number of requests there
     */
    public synchronized double estimate(InstanceId endpoint) {
        Entry entry = entries.get(endpoint);
        if (entry == null) {
            return 0;
        }
        double peerSum = entry.peerRequests.values().stream().mapToInt(Integer::intValue).sum();
        return entry.ownRequests + (entry.peerRequests.isEmpty() ? entry.otherRequests : peerSum);
    }

    /**
     * Removes an endpoint from the table.
     *
     * @param endpoint endpoint that no longer exists
     */
    public synchronized void remove(InstanceId endpoint) {
        entries.remove(endpoint);
    }
}
