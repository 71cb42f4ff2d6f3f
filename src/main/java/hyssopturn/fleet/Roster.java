package hyssopturn.fleet;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The endpoints of the platform's list, and which of them are usable now.
 *
 * <p>An announcement that is older than the last known one counts only if another one follows it:
 * the list may have returned from an older copy. An endpoint is usable while the platform lists it,
 * it has not announced that it is leaving, has not asked for a pause, and is not suspected of
 * having failed since its last heartbeat. While the platform's list cannot be read, and for a short
 * time afterwards, an endpoint whose entry is removed stays usable: its heartbeats may have been
 * lost although the endpoint is alive. Not thread-safe; owned by one event loop.
 */
public final class Roster {
    /**
     * How long after an outage of the list an endpoint stays usable whose entry was removed since.
     */
    public static final Duration REMOVAL_GRACE = Duration.ofMillis(2_500);

    /** Least time that an endpoint is not used after it was found unreachable. */
    public static final Duration MIN_SUSPICION = Duration.ofMillis(1_500);

    /** How long a report of another node excludes an endpoint unless this node confirms it. */
    public static final Duration REPORT_VALIDITY = Duration.ofSeconds(1);

    /** Time under suspicion during which an endpoint may only be silent. */
    public static final Duration SILENCE_TOLERANCE = Duration.ofSeconds(2);

    /** Time under suspicion after which other endpoints should replace an endpoint. */
    public static final Duration LOST_AFTER = Duration.ofMillis(300);

    /** Time without a readable announcement after which others should replace an endpoint. */
    public static final Duration UNREADABLE_TOLERANCE = Duration.ofSeconds(3);

    /** Time without an announcement of the latest start after which an earlier start counts. */
    public static final Duration EARLIER_START_TIMEOUT = Duration.ofSeconds(3);

    private final Map<InstanceId, RosterEntry> entries = new HashMap<>();
    private final Departures departures = new Departures();
    private long outageEndNanos = Long.MIN_VALUE;
    private long lastRampEndNanos = Long.MIN_VALUE;

    /** Creates an empty roster. */
    public Roster() {}

    /**
     * Records an announcement.
     *
     * @param announced endpoint as it announced itself
     * @param nowNanos time now
     * @return true if the endpoint is new, was started again or removed, or differs from its last
     *     announcement
     */
    public boolean announce(Endpoint announced, long nowNanos) {
        RosterEntry entry = entries.get(announced.id());
        if (older(announced, entry) && !departures.confirms(announced)) {
            return false;
        }
        departures.clear(announced.id());
        if (entry == null || supersedes(announced, entry, nowNanos)) {
            entries.put(announced.id(), new RosterEntry(announced, nowNanos));
            return true;
        }
        if (announced.incarnation() < entry.endpoint.incarnation()) {
            return false;
        }
        boolean changed =
                entry.removedNanos.isPresent()
                        || entry.unreadableNanos.isPresent()
                        || differs(entry.endpoint, announced);
        entry.removedNanos = Optional.empty();
        entry.unreadableNanos = Optional.empty();
        entry.endpoint = announced;
        entry.lastHeartbeatNanos = nowNanos;
        entry.leaving |= announced.leaving();
        return changed;
    }

    /**
     * Returns whether an announcement was made before the last known one, or was the last one of an
     * endpoint that has been removed since.
     */
    private boolean older(Endpoint announced, RosterEntry entry) {
        if (entry == null) {
            return departures
                    .last(announced.id())
                    .filter(last -> Endpoint.AGE.compare(announced, last) <= 0)
                    .isPresent();
        }
        if (!entry.sameStart(announced.incarnation())) {
            return false;
        }
        long known = entry.endpoint.heartbeat();
        return announced.heartbeat() < known
                || (announced.heartbeat() == known && entry.removedNanos.isPresent());
    }

    /**
     * Returns whether an announcement is of a later start than the known one, or continues an
     * earlier start: an announcement with a wrong time of start must not shut out the endpoint.
     */
    private static boolean supersedes(Endpoint announced, RosterEntry known, long nowNanos) {
        return announced.incarnation() > known.endpoint.incarnation()
                || (announced.incarnation() < known.endpoint.incarnation()
                        && nowNanos - known.lastHeartbeatNanos > EARLIER_START_TIMEOUT.toNanos());
    }

    /**
     * Records that the latest announcement of an endpoint is unreadable. The endpoint gets no new
     * requests until it announces itself again; requests in progress go on.
     *
     * @param id the endpoint
     * @param nowNanos time now
     */
    public void markUnreadable(InstanceId id, long nowNanos) {
        RosterEntry entry = entries.get(id);
        if (entry != null && entry.unreadableNanos.isEmpty()) {
            entry.unreadableNanos = Optional.of(nowNanos);
        }
    }

    private static boolean differs(Endpoint a, Endpoint b) {
        return !a.layers().equals(b.layers())
                || a.leaving() != b.leaving()
                || !a.address().equals(b.address())
                || !a.service().equals(b.service());
    }

    /**
     * Records the removal of an entry from the list.
     *
     * @param id the endpoint
     * @param nowNanos time now
     * @return true if the endpoint was listed
     */
    public boolean remove(InstanceId id, long nowNanos) {
        RosterEntry entry = entries.get(id);
        if (entry == null || entry.removedNanos.isPresent()) {
            return false;
        }
        entry.removedNanos = Optional.of(nowNanos);
        return true;
    }

    /**
     * Records the removal of all endpoints that a complete read of the list did not contain.
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
     * Records that the list could not be read.
     *
     * @param nowNanos time now
     */
    public void recordListOutage(long nowNanos) {
        outageEndNanos = nowNanos;
    }

    /**
     * Records evidence that an endpoint has failed. A report changes nothing if this node has
     * evidence of its own.
     *
     * @param id the endpoint
     * @param incarnation incarnation that seems to have failed
     * @param evidence the evidence
     * @param nowNanos time now
     * @return true if it was not under suspicion before, or only because of a report
     */
    public boolean suspect(InstanceId id, long incarnation, Evidence evidence, long nowNanos) {
        return find(id, incarnation).filter(e -> e.suspect(evidence, nowNanos)).isPresent();
    }

    /**
     * Records that an endpoint accepted a connection, which ends a suspicion unless the endpoint
     * was found unresponsive.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if it was under suspicion and is not any more
     */
    public boolean clearSuspicion(Endpoint endpoint, long nowNanos) {
        return find(endpoint).filter(e -> e.clearSuspicion(nowNanos)).isPresent();
    }

    /**
     * Records that an endpoint works on a request, which ends any suspicion.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if it was under suspicion and is not any more
     */
    public boolean recordWork(Endpoint endpoint, long nowNanos) {
        return find(endpoint).filter(e -> e.endSuspicion(nowNanos)).isPresent();
    }

    /**
     * Lists the endpoints that are under suspicion only because of reports of other nodes.
     *
     * @param nowNanos time now
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> reported(long nowNanos) {
        return list(e -> e.reportedOnly(nowNanos));
    }

    /**
     * Lists the endpoints under suspicion, which their next announcement may end.
     *
     * @param nowNanos time now
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> suspected(long nowNanos) {
        return list(e -> e.suspected(nowNanos));
    }

    /**
     * Records that an endpoint declared that it accepts no new requests.
     *
     * @param id the endpoint
     */
    public void markLeaving(InstanceId id) {
        RosterEntry entry = entries.get(id);
        if (entry != null) {
            entry.leaving = true;
        }
    }

    /**
     * Records that an endpoint said in an answer that it is shutting down. From then on it counts
     * as leaving, whatever the list says.
     *
     * @param endpoint the endpoint as it was used
     * @param nowNanos time now
     * @return true if it had not said so before
     */
    public boolean announceShutdown(Endpoint endpoint, long nowNanos) {
        Optional<RosterEntry> entry = find(endpoint);
        entry.ifPresent(e -> e.leaving = true);
        return entry.filter(e -> e.availability.announceShutdown(nowNanos)).isPresent();
    }

    /**
     * Records that an endpoint asked in an answer for a pause, in which it gets nothing.
     *
     * @param endpoint the endpoint as it was used
     * @param length time from now on
     * @param nowNanos time now
     * @return true if it was not paused before
     */
    public boolean pause(Endpoint endpoint, Duration length, long nowNanos) {
        long rampEnd = nowNanos + length.plus(Availability.MAX_RAMP).toNanos();
        lastRampEndNanos = Math.max(lastRampEndNanos, rampEnd);
        return find(endpoint).filter(e -> e.availability.pause(length, nowNanos)).isPresent();
    }

    /**
     * Returns the time until an endpoint's pause ends.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return the time left, empty if the endpoint is not paused
     */
    public Optional<Duration> pauseLeft(Endpoint endpoint, long nowNanos) {
        return find(endpoint).flatMap(e -> e.availability.pauseLeft(nowNanos));
    }

    /**
     * Returns whether an endpoint has asked for a pause that is not over.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if it gets nothing now
     */
    public boolean paused(Endpoint endpoint, long nowNanos) {
        return pauseLeft(endpoint, nowNanos).isPresent();
    }

    /**
     * Returns the time until the first pause of a service's endpoints ends.
     *
     * @param service name of the service
     * @param nowNanos time now
     * @return the time left, empty if no endpoint is paused
     */
    public Optional<Duration> firstPauseLeft(String service, long nowNanos) {
        return entries.values().stream()
                .filter(e -> e.serves(service) && !e.leaving)
                .flatMap(e -> e.availability.pauseLeft(nowNanos).stream())
                .min(Comparator.naturalOrder());
    }

    /**
     * Returns the part of its usual requests that an endpoint should get now.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return 0 during a pause, growing to 1 after its end
     */
    public double share(Endpoint endpoint, long nowNanos) {
        if (nowNanos >= lastRampEndNanos) {
            return 1;
        }
        return find(endpoint).map(e -> e.availability.share(nowNanos)).orElse(1.0);
    }

    /**
     * Returns whether the list holds an endpoint, as it was started then.
     *
     * @param endpoint the endpoint
     * @return true if it is listed
     */
    public boolean lists(Endpoint endpoint) {
        return find(endpoint).filter(e -> e.removedNanos.isEmpty()).isPresent();
    }

    /**
     * Lists the endpoints of a service that the list holds, whether they are usable or not.
     *
     * @param service name of the service
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> listed(String service) {
        return list(e -> e.serves(service) && e.removedNanos.isEmpty());
    }

    private Optional<RosterEntry> find(Endpoint endpoint) {
        return find(endpoint.id(), endpoint.incarnation());
    }

    private Optional<RosterEntry> find(InstanceId id, long incarnation) {
        return Optional.ofNullable(entries.get(id)).filter(e -> e.sameStart(incarnation));
    }

    /**
     * Lists the endpoints of a service that announced their shutdown in an answer a short time ago.
     * They still serve requests that no other endpoint can serve.
     *
     * @param service name of the service
     * @param period how long after the announcement an endpoint still serves
     * @param nowNanos time now
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> shuttingDown(String service, Duration period, long nowNanos) {
        return list(
                e ->
                        e.serves(service)
                                && e.availability.shuttingDownSinceLessThan(period, nowNanos)
                                && e.removedNanos.isEmpty()
                                && !e.endpoint.leaving()
                                && !e.availability.paused(nowNanos)
                                && !e.suspected(nowNanos));
    }

    /**
     * Returns whether an endpoint is leaving or has been removed from the list.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if it accepts no new requests and will soon stop
     */
    public boolean leavingOrGone(Endpoint endpoint, long nowNanos) {
        return find(endpoint)
                .filter(e -> !e.leaving && !e.endpoint.leaving() && listed(e, nowNanos))
                .isEmpty();
    }

    /**
     * Returns whether a run of an endpoint has ended unannounced: the list does not hold the
     * endpoint any more, or as started anew.
     *
     * @param endpoint the endpoint as it was used
     * @return true if it is gone and had not announced that it was leaving
     */
    public boolean ended(Endpoint endpoint) {
        return find(endpoint)
                .map(e -> e.removedNanos.isPresent() && !e.leaving)
                .orElse(!endpoint.leaving());
    }

    /**
     * Drops entries that were removed from the list and whose grace period is over.
     *
     * @param nowNanos time now
     * @return endpoints that were dropped
     */
    public List<InstanceId> purge(long nowNanos) {
        List<InstanceId> dropped = new ArrayList<>();
        entries.forEach(
                (id, e) -> {
                    if (!listed(e, nowNanos)) {
                        dropped.add(id);
                    }
                });
        dropped.forEach(id -> departures.add(entries.remove(id).endpoint));
        return dropped;
    }

    /** Returns whether the list holds the endpoint, or may do so but for an outage. */
    private boolean listed(RosterEntry entry, long nowNanos) {
        return entry.removedNanos.isEmpty() || withinGrace(entry, nowNanos);
    }

    private boolean withinGrace(RosterEntry entry, long nowNanos) {
        long removed = entry.removedNanos.orElse(nowNanos);
        boolean nearOutage =
                outageEndNanos != Long.MIN_VALUE
                        && removed - outageEndNanos < REMOVAL_GRACE.toNanos()
                        && nowNanos - outageEndNanos < REMOVAL_GRACE.toNanos();
        return nearOutage && !entry.leaving;
    }

    /**
     * Returns whether an endpoint recently did not answer a request.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if it is under suspicion
     */
    public boolean suspected(Endpoint endpoint, long nowNanos) {
        return find(endpoint).filter(e -> e.suspected(nowNanos)).isPresent();
    }

    /**
     * Returns whether an endpoint has failed as far as this node can tell: it is not known any
     * more, refuses connections, or has been under suspicion for longer than a sound one is silent.
     *
     * @param endpoint the endpoint
     * @param nowNanos time now
     * @return true if nothing is to be expected of it
     */
    public boolean lost(Endpoint endpoint, long nowNanos) {
        return find(endpoint).filter(e -> e.mayBeSilent(nowNanos)).isEmpty();
    }

    private boolean present(RosterEntry entry, long nowNanos) {
        return entry.accepting(nowNanos) && listed(entry, nowNanos);
    }

    private boolean usable(RosterEntry entry, long nowNanos) {
        return present(entry, nowNanos) && !entry.suspected(nowNanos);
    }

    /**
     * Lists the usable endpoints of a service.
     *
     * @param service name of the service
     * @param nowNanos time now
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> usable(String service, long nowNanos) {
        return list(e -> e.serves(service) && usable(e, nowNanos));
    }

    /**
     * Lists the usable endpoints of a service together with those that only other nodes suspect.
     *
     * @param service name of the service
     * @param nowNanos time now
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> usableOrReported(String service, long nowNanos) {
        return list(
                e ->
                        e.serves(service)
                                && present(e, nowNanos)
                                && (!e.suspected(nowNanos) || e.reportedOnly(nowNanos)));
    }

    /**
     * Lists the endpoints of a service that are not leaving, whether under suspicion or not.
     *
     * @param service name of the service
     * @param nowNanos time now
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> usableOrSuspected(String service, long nowNanos) {
        return list(e -> e.serves(service) && present(e, nowNanos));
    }

    /**
     * Lists the usable endpoints of a service together with those that may only be silent.
     *
     * @param service name of the service
     * @param nowNanos time now
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> usableOrSilent(String service, long nowNanos) {
        return list(e -> e.serves(service) && present(e, nowNanos) && e.mayBeSilent(nowNanos));
    }

    /**
     * Lists the endpoints of a service that are expected to continue: they are listed, are not
     * leaving, and have not been under suspicion for long.
     *
     * @param service name of the service
     * @param nowNanos time now
     * @return the endpoints, in no particular order
     */
    public List<Endpoint> stable(String service, long nowNanos) {
        return list(e -> e.serves(service) && e.stable(nowNanos));
    }

    /**
     * Returns whether the list of a service's endpoints is complete as far as this node can know:
     * it has endpoints, and none of them appeared or started again within the given time.
     *
     * @param service name of the service
     * @param period least time without a new endpoint
     * @param nowNanos time now
     * @return true if there are endpoints that are expected to continue, and none is new
     */
    public boolean settled(String service, Duration period, long nowNanos) {
        long newest = Long.MIN_VALUE;
        for (RosterEntry entry : entries.values()) {
            if (entry.serves(service) && entry.stable(nowNanos)) {
                newest = Math.max(newest, entry.firstListedNanos);
            }
        }
        return newest != Long.MIN_VALUE && nowNanos - newest > period.toNanos();
    }

    private List<Endpoint> list(Predicate<RosterEntry> wanted) {
        List<Endpoint> found = new ArrayList<>();
        for (RosterEntry entry : entries.values()) {
            if (wanted.test(entry)) {
                found.add(entry.endpoint);
            }
        }
        return found;
    }

    /**
     * Finds an endpoint by its name.
     *
     * @param id its name
     * @return the endpoint, empty if it is not known
     */
    public Optional<Endpoint> find(InstanceId id) {
        return Optional.ofNullable(entries.get(id)).map(entry -> entry.endpoint);
    }

    /**
     * Finds the endpoint at an address.
     *
     * @param address the address
     * @return the endpoint that started last of those with this address, empty if there is none
     */
    public Optional<Endpoint> findByAddress(Address address) {
        Endpoint found = null;
        for (RosterEntry entry : entries.values()) {
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
     * @return number of known endpoints
     */
    public int size() {
        return entries.size();
    }
}
