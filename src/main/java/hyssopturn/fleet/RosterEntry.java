package hyssopturn.fleet;

import java.time.Duration;
import java.util.Optional;

/** What a node knows of one start of an endpoint. Not thread-safe. */
final class RosterEntry {
    final long firstListedNanos;
    final Availability availability = new Availability();
    Endpoint endpoint;
    long lastHeartbeatNanos;
    Optional<Long> removedNanos = Optional.empty();
    Optional<Long> unreadableNanos = Optional.empty();
    boolean leaving;
    private Optional<Suspicion> suspicion = Optional.empty();

    RosterEntry(Endpoint endpoint, long nowNanos) {
        this.endpoint = endpoint;
        firstListedNanos = nowNanos;
        lastHeartbeatNanos = nowNanos;
        leaving = endpoint.leaving();
    }

    /** Suspicion that an endpoint has failed, with the times of its first and latest evidence. */
    private record Suspicion(Evidence evidence, long sinceNanos, long latestNanos) {
        boolean active(long lastHeartbeatNanos, long nowNanos) {
            if (evidence == Evidence.REPORT) {
                return nowNanos - latestNanos < Roster.REPORT_VALIDITY.toNanos();
            }
            return nowNanos - latestNanos < Roster.MIN_SUSPICION.toNanos()
                    || lastHeartbeatNanos - latestNanos < Roster.MIN_SUSPICION.toNanos() / 2;
        }
    }

    /** Returns whether an announcement is of the same start as this entry. */
    boolean sameStart(long incarnation) {
        return endpoint.incarnation() == incarnation;
    }

    boolean serves(String service) {
        return endpoint.service().equals(service);
    }

    /**
     * Records evidence that the endpoint has failed. A report changes nothing if this node has
     * evidence of its own. Returns true if it was not under suspicion before, or only because of a
     * report.
     */
    boolean suspect(Evidence evidence, long nowNanos) {
        Optional<Suspicion> earlier = activeSuspicion(nowNanos);
        boolean reportedOnly = reportedOnly(nowNanos);
        if (evidence == Evidence.REPORT && earlier.isPresent() && !reportedOnly) {
            return false;
        }
        long sinceNanos = earlier.map(Suspicion::sinceNanos).orElse(nowNanos);
        boolean refusing = earlier.filter(s -> s.evidence() == Evidence.REFUSING).isPresent();
        Evidence strongest = refusing ? Evidence.REFUSING : evidence;
        suspicion = Optional.of(new Suspicion(strongest, sinceNanos, nowNanos));
        return earlier.isEmpty() || (reportedOnly && evidence != Evidence.REPORT);
    }

    /**
     * Ends a suspicion unless the endpoint was found unresponsive; returns true if it is not under
     * suspicion any more.
     */
    boolean clearSuspicion(long nowNanos) {
        boolean refuted =
                activeSuspicion(nowNanos)
                        .filter(s -> s.evidence() != Evidence.UNRESPONSIVE)
                        .isPresent();
        if (refuted) {
            suspicion = Optional.empty();
        }
        return refuted;
    }

    /** Ends any suspicion; returns true if there was one. */
    boolean endSuspicion(long nowNanos) {
        boolean suspected = suspected(nowNanos);
        suspicion = Optional.empty();
        return suspected;
    }

    boolean suspected(long nowNanos) {
        return activeSuspicion(nowNanos).isPresent();
    }

    /** Returns whether only other nodes suspect the endpoint. */
    boolean reportedOnly(long nowNanos) {
        return activeSuspicion(nowNanos).filter(s -> s.evidence() == Evidence.REPORT).isPresent();
    }

    private Optional<Suspicion> activeSuspicion(long nowNanos) {
        return suspicion.filter(s -> s.active(lastHeartbeatNanos, nowNanos));
    }

    /** Returns whether the endpoint is listed, stays, and has not been suspected for long. */
    boolean stable(long nowNanos) {
        return removedNanos.isEmpty()
                && !leaving
                && !unreadableFor(Roster.UNREADABLE_TOLERANCE, nowNanos)
                && !suspectedFor(Roster.LOST_AFTER, nowNanos);
    }

    /** Returns whether nothing but a short silence speaks against the endpoint. */
    boolean mayBeSilent(long nowNanos) {
        boolean refusing =
                activeSuspicion(nowNanos)
                        .filter(s -> s.evidence() == Evidence.REFUSING)
                        .isPresent();
        return !refusing && !suspectedFor(Roster.SILENCE_TOLERANCE, nowNanos);
    }

    private boolean unreadableFor(Duration period, long nowNanos) {
        return unreadableNanos.filter(since -> nowNanos - since > period.toNanos()).isPresent();
    }

    private boolean suspectedFor(Duration period, long nowNanos) {
        return activeSuspicion(nowNanos)
                .filter(s -> nowNanos - s.sinceNanos() > period.toNanos())
                .isPresent();
    }

    /** Returns whether the endpoint accepts requests as far as the list and it itself say. */
    boolean accepting(long nowNanos) {
        return !leaving
                && !endpoint.leaving()
                && unreadableNanos.isEmpty()
                && !availability.paused(nowNanos);
    }
}
