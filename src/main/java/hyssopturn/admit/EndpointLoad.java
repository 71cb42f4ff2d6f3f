package hyssopturn.admit;

import hyssopturn.model.InstanceId;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Present load of endpoints: late reports, corrected by what this node and its peers sent since.
 *
 * <p>A report tells how many requests ran some time ago, this node's own among them. The others'
 * part is that number less what this node had there at that time, or what the peers say they have
 * there if they say anything; this node's own part is known exactly.
 */
public final class EndpointLoad {
    private static final long HISTORY_NANOS = 10_000_000_000L;
    private static final int MAX_HISTORY = 512;

    private final Map<InstanceId, Entry> entries = new HashMap<>();

    /** Creates a table that knows no load. */
    public EndpointLoad() {}

    private record Past(long atNanos, int own) {}

    private static final class Entry {
        private final Deque<Past> past = new ArrayDeque<>();
        private final Map<InstanceId, Integer> peers = new HashMap<>();
        private int own;
        private double others;

        void change(int by, long now) {
            past.addLast(new Past(now, own));
            own = Math.max(0, own + by);
            while (past.size() > MAX_HISTORY || past.peekFirst().atNanos() < now - HISTORY_NANOS) {
                past.removeFirst();
            }
        }

        /** Each entry of the history holds the number before a change. */
        int ownAt(long atNanos) {
            for (Past change : past) {
                if (change.atNanos() > atNanos) {
                    return change.own();
                }
            }
            return own;
        }
    }

    private Entry entry(InstanceId endpoint) {
        return entries.computeIfAbsent(endpoint, id -> new Entry());
    }

    /**
     * Notes that this node sent a request.
     *
     * @param endpoint where it was sent
     * @param nowNanos time now
     */
    public synchronized void sent(InstanceId endpoint, long nowNanos) {
        entry(endpoint).change(1, nowNanos);
    }

    /**
     * Notes that a request which this node sent has ended.
     *
     * @param endpoint where it ran
     * @param nowNanos time now
     */
    public synchronized void ended(InstanceId endpoint, long nowNanos) {
        entry(endpoint).change(-1, nowNanos);
    }

    /**
     * Takes in an endpoint's report.
     *
     * @param endpoint the endpoint
     * @param requests number of requests that it said it had
     * @param atNanos when it had them
     */
    public synchronized void reported(InstanceId endpoint, int requests, long atNanos) {
        Entry entry = entry(endpoint);
        entry.others = Math.max(0, requests - entry.ownAt(atNanos));
    }

    /**
     * Takes in what a peer says it has at an endpoint.
     *
     * @param peer the peer
     * @param endpoint the endpoint
     * @param requests number of requests; 0 forgets the peer
     */
    public synchronized void peer(InstanceId peer, InstanceId endpoint, int requests) {
        Entry entry = entry(endpoint);
        if (requests == 0) {
            entry.peers.remove(peer);
        } else {
            entry.peers.put(peer, requests);
        }
    }

    /**
     * Estimates the load of an endpoint now.
     *
     * @param endpoint the endpoint
     * @return number of requests there
     */
    public synchronized double estimate(InstanceId endpoint) {
        Entry entry = entries.get(endpoint);
        if (entry == null) {
            return 0;
        }
        double told = entry.peers.values().stream().mapToInt(Integer::intValue).sum();
        return entry.own + (entry.peers.isEmpty() ? entry.others : told);
    }

    /**
     * Forgets an endpoint.
     *
     * @param endpoint endpoint that is gone
     */
    public synchronized void gone(InstanceId endpoint) {
        entries.remove(endpoint);
    }
}
