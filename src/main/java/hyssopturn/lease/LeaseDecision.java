package hyssopturn.lease;

import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongUnaryOperator;

/**
 * What one node knows and does about the lease; pure.
 *
 * <p>The holder's lease runs from the moment before its accepted record was sent. A waiter tries
 * only after it has seen no record for a whole lease and a margin, so that by then the lease of
 * whoever sent the last record it saw has ended; a record that it has not seen makes its try fail.
 *
 * @param self this node
 * @param log what the log says
 * @param seenNanos monotonic time when this node last saw a try, or began to read
 * @param untaken true if the log was read whole and shows that nobody ever tried
 * @param sent the latest tries of this node
 * @param held the accepted try of this node, if it is the current one
 */
record LeaseDecision(
        InstanceId self,
        LeaseState log,
        long seenNanos,
        boolean untaken,
        List<Try> sent,
        Optional<Held> held) {

    private static final int TRIES_KEPT = 8;

    /** A try and the monotonic time before it was sent. */
    record Try(LeaseRecord record, long beforeNanos) {}

    /** A lease: its term and the monotonic time at which it ends. */
    record Held(long term, long endNanos) {}

    static LeaseDecision begin(InstanceId self, long nowNanos) {
        return new LeaseDecision(
                self, LeaseState.INITIAL, nowNanos, false, List.of(), Optional.empty());
    }

    /** Moment from which a holder counts its lease. */
    @FunctionalInterface
    interface Start {
        /** Counts from before the record was sent. */
        Start SENDING = (beforeNanos, readNanos) -> beforeNanos;

        long nanos(long beforeNanos, long readNanos);
    }

    /** Takes over what the log says after a page, the last one so far if it is at the end. */
    LeaseDecision read(
            LeaseState next, boolean atEnd, LeaseTiming timing, Start start, long nowNanos) {
        boolean quiet = next.last() == log.last() && next.start() == log.start();
        long seen = quiet ? seenNanos : nowNanos;
        boolean never = atEnd && next.last() == 0 && next.start() == 1;
        return new LeaseDecision(
                self,
                next,
                seen,
                never,
                sent,
                heldAfter(next, n -> start.nanos(n, nowNanos) + timing.length().toNanos()));
    }

    private Optional<Held> heldAfter(LeaseState next, LongUnaryOperator end) {
        if (next.current().isEmpty()) {
            return Optional.empty();
        }
        LeaseState.Accepted accepted = next.current().get();
        if (held.filter(h -> h.term() == accepted.term()).isPresent()) {
            return held;
        }
        return sent.stream()
                .filter(t -> t.record().equals(accepted.record()))
                .findFirst()
                .map(t -> new Held(accepted.term(), end.applyAsLong(t.beforeNanos())));
    }

    /** Notes a try that is about to be sent. */
    LeaseDecision trying(LeaseRecord record, long nowNanos) {
        List<Try> tries = new ArrayList<>(sent);
        tries.add(new Try(record, nowNanos));
        List<Try> kept = tries.subList(Math.max(0, tries.size() - TRIES_KEPT), tries.size());
        return new LeaseDecision(self, log, seenNanos, untaken, List.copyOf(kept), held);
    }

    /** Tells whether this node should try now: to renew, or to take over after silence. */
    boolean due(LeaseTiming timing, long waitNanos, long nowNanos) {
        if (holds(nowNanos)) {
            return true;
        }
        long silence = untaken ? 0 : timing.length().plus(timing.margin()).toNanos();
        return nowNanos - seenNanos >= silence + waitNanos;
    }

    boolean holds(long nowNanos) {
        return held.filter(h -> nowNanos - h.endNanos() < 0).isPresent();
    }

    /** Returns the term while this node holds the lease. */
    Optional<Long> term(long nowNanos) {
        return holds(nowNanos) ? held.map(Held::term) : Optional.empty();
    }
}
