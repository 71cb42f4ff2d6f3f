package hyssopturn.fleet;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Endpoints that may be used now.
 *
 * <p>An endpoint is usable while the platform lists it, it has not announced that it leaves, and no
 * request has shown it to be unreachable since its last heartbeat. While the platform's list cannot
 * be read, and a short time after, an entry that lapses stays usable: the heartbeat may have been
 * lost and not the endpoint. Not thread-safe; owned by one event loop.
 */
public final class Roster {
    /** How long an entry that lapsed around an outage of the list stays usable. */
    public static final Duration LAPSE_GRACE = Duration.ofMillis(2_500);

    /** Least time that an endpoint is left out after it was found unreachable. */
    public static final Duration SUSPICION = Duration.ofMillis(1_500);

    /** Time under suspicion after which an endpoint's work should be given to others. */
    public static final Duration LOST_AFTER = Duration.ofMillis(300);

    private final Map<InstanceId, Entry> entries = new HashMap<>();
    private long outageEndNanos = Long.MIN_VALUE;

    /** Creates a roster that knows no endpoint. */
    public Roster() {}

    private static final class Entry {
        private Endpoint endpoint;
        private long heardNanos;
        private Optional<Long> suspectedNanos = Optional.empty();
        private long suspectedSinceNanos;
        private Optional<Long> goneNanos = Optional.empty();
        private boolean left;

        Entry(Endpoint endpoint, long nowNanos) {
            this.endpoint = endpoint;
            heardNanos = nowNanos;
            left = endpoint.leaving();
        }
    }

    /**
     * Takes an announcement.
     *
     * @param seen what the endpoint announced
     * @param nowNanos time now
     * @return true if it changes which endpoints may be used, and how
     */
    public boolean announce(Endpoint seen, long nowNanos) {
        Entry entry = entries.get(seen.id());
        if (entry == null || seen.incarnation() > entry.endpoint.incarnation()) {
            entries.put(seen.id(), new Entry(seen, nowNanos));
            return true;
        }
        if (seen.incarnation() < entry.endpoint.incarnation()) {
            return false;
        }
        boolean changed = entry.goneNanos.isPresent() || differs(entry.endpoint, seen);
        entry.goneNanos = Optional.empty();
        entry.endpoint = seen;
        entry.heardNanos = nowNanos;
        entry.left |= seen.leaving();
        return changed;
    }

    private static boolean differs(Endpoint a, Endpoint b) {
        return !a.layers().equals(b.layers())
                || a.leaving() != b.leaving()
                || !a.address().equals(b.address())
                || !a.service().equals(b.service());
    }

    /**
     * Takes the removal of an entry.
     *
     * @param id the endpoint
     * @param nowNanos time now
     * @return true if the endpoint was known
     */
    public boolean remove(InstanceId id, long nowNanos) {
        Entry entry = entries.get(id);
        if (entry == null || entry.goneNanos.isPresent()) {
            return false;
        }
        entry.goneNanos = Optional.of(nowNanos);
        return true;
    }

    /**
     * Keeps only listed endpoints, after the whole list was read.
     *
     * @param listed all endpoints of the list
     * @param nowNanos time now
     */
    public void retain(Collection<InstanceId> listed, long nowNanos) {
        for (InstanceId id : List.copyOf(entries.keySet())) {
            if (!listed.contains(id)) {
                remove(id, nowNanos);
            }
        }
    }

    /**
     * Notes that the list could not be read at this moment.
     *
     * @param nowNanos time now
     */
    public void unreadable(long nowNanos) {
        outageEndNanos = nowNanos;
    }

    /**
     * Notes that an endpoint did not answer.
     *
     * @param id the endpoint
     * @param incarnation incarnation that did not answer
     * @param nowNanos time now
     * @return true if it was not under suspicion before
     */
    public boolean suspect(InstanceId id, long incarnation, long nowNanos) {
        Entry entry = entries.get(id);
        if (entry == null || entry.endpoint.incarnation() != incarnation) {
            return false;
        }
        boolean fresh = !suspected(entry, nowNanos);
        if (fresh) {
            entry.suspectedSinceNanos = nowNanos;
        }
        entry.suspectedNanos = Optional.of(nowNanos);
        return fresh;
    }

    /**
     * Notes that an endpoint said that it takes no new work.
     *
     * @param id the endpoint
     */
    public void leaving(InstanceId id) {
        Entry entry = entries.get(id);
        if (entry != null) {
            entry.left = true;
        }
    }

    /**
     * Tells whether an endpoint has begun to leave, or has left the list.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if it takes no new work and will soon end
     */
    public boolean departing(Endpoint endpoint, long nowNanos) {
        Entry entry = entries.get(endpoint.id());
        if (entry == null || entry.endpoint.incarnation() != endpoint.incarnation()) {
            return true;
        }
        boolean gone = entry.goneNanos.isPresent() && !graceful(entry, nowNanos);
        return entry.left || entry.endpoint.leaving() || gone;
    }

    /**
     * Drops entries that are gone for good.
     *
     * @param nowNanos time now
     * @return endpoints that were dropped
     */
    public List<InstanceId> purge(long nowNanos) {
        List<InstanceId> dropped = new ArrayList<>();
        entries.forEach(
                (id, e) -> {
                    if (e.goneNanos.isPresent() && !graceful(e, nowNanos)) {
                        dropped.add(id);
                    }
                });
        dropped.forEach(entries::remove);
        return dropped;
    }

    private boolean graceful(Entry entry, long nowNanos) {
        long gone = entry.goneNanos.orElse(nowNanos);
        boolean nearOutage =
                outageEndNanos != Long.MIN_VALUE
                        && gone - outageEndNanos < LAPSE_GRACE.toNanos()
                        && nowNanos - outageEndNanos < LAPSE_GRACE.toNanos();
        return nearOutage && !entry.left;
    }

    /**
     * Tells whether an endpoint did not answer somebody a moment ago.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if it is under suspicion
     */
    public boolean suspected(Endpoint endpoint, long nowNanos) {
        Entry entry = entries.get(endpoint.id());
        return entry != null
                && entry.endpoint.incarnation() == endpoint.incarnation()
                && suspected(entry, nowNanos);
    }

    private static boolean suspected(Entry entry, long nowNanos) {
        return entry.suspectedNanos
                .filter(
                        at ->
                                nowNanos - at < SUSPICION.toNanos()
                                        || entry.heardNanos - at < SUSPICION.toNanos() / 2)
                .isPresent();
    }

    private boolean usable(Entry entry, long nowNanos) {
        if (entry.left || entry.endpoint.leaving() || suspected(entry, nowNanos)) {
            return false;
        }
        return entry.goneNanos.isEmpty() || graceful(entry, nowNanos);
    }

    /**
     * Lists the endpoints of a service that may be used.
     *
     * @param service name of the service
     * @param nowNanos time now
     * @return endpoints, in no order
     */
    public List<Endpoint> usable(String service, long nowNanos) {
        return list(e -> usable(e, nowNanos) && e.endpoint.service().equals(service));
    }

    /**
     * Lists the endpoints of a service that will go on serving, as far as is known: they are
     * listed, do not leave, and have not been under suspicion for long.
     *
     * @param service name of the service
     * @param nowNanos time now
     * @return endpoints, in no order
     */
    public List<Endpoint> lasting(String service, long nowNanos) {
        return list(
                e ->
                        e.goneNanos.isEmpty()
                                && !e.left
                                && !lost(e, nowNanos)
                                && e.endpoint.service().equals(service));
    }

    private static boolean lost(Entry entry, long nowNanos) {
        return suspected(entry, nowNanos)
                && nowNanos - entry.suspectedSinceNanos > LOST_AFTER.toNanos();
    }

    private List<Endpoint> list(Predicate<Entry> wanted) {
        List<Endpoint> found = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (wanted.test(entry)) {
                found.add(entry.endpoint);
            }
        }
        return found;
    }

    /**
     * Finds the endpoint at an address.
     *
     * @param address the address
     * @return the endpoint that announced it last, empty if none did
     */
    public Optional<Endpoint> at(Address address) {
        Endpoint found = null;
        for (Entry entry : entries.values()) {
            Endpoint endpoint = entry.endpoint;
            if (endpoint.address().equals(address)
                    && (found == null || endpoint.incarnation() > found.incarnation())) {
                found = endpoint;
            }
        }
        return Optional.ofNullable(found);
    }

    /**
     * Counts the entries.
     *
     * @return number of endpoints known
     */
    public int size() {
        return entries.size();
    }
}
