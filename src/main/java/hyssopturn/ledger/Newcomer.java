package hyssopturn.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Judges records while the fold began after the first record, until it knows every live call.
 *
 * <p>A record that was put together before the beginning may be a late copy of one that was
 * dropped, so it cannot be judged and is left out. A record with a floor at or after the beginning
 * shows that none that was left out matters.
 */
final class Newcomer {
    private final Map<Fingerprint, Long> leftOut = new HashMap<>();
    private long start = 1;
    private long leftOutAt;
    private boolean done = true;

    void start(long offset) {
        leftOut.clear();
        leftOutAt = 0;
        start = offset;
        done = offset <= 1;
    }

    boolean done() {
        return done;
    }

    /** Tells whether a record must be left out, and notes the calls that it speaks of. */
    boolean cannotJudge(long offset, Batch batch) {
        if (done || batch.readTo() >= start) {
            return false;
        }
        leftOutAt = offset;
        batch.entries().forEach(entry -> leftOut.put(entry.call(), offset));
        return true;
    }

    /** Notes that an owner has told the outcome of its call. */
    void settled(Fingerprint call) {
        leftOut.remove(call);
    }

    /** Notes that somebody who had read up to an offset has named the owner of a call. */
    void told(Fingerprint call, long readTo) {
        leftOut.computeIfPresent(call, (c, offset) -> offset < readTo ? null : offset);
    }

    /**
     * Tells whether the author of a floor knew all that was left out here and needed none of it.
     */
    boolean mayAdopt(Batch batch, Batch.Floor floor) {
        return !done && floor.floor() >= start && batch.readTo() > leftOutAt;
    }

    /** Tells whether one of these calls may have a wrong owner for want of a record. */
    boolean misjudged(Set<Fingerprint> open) {
        return leftOut.keySet().stream().anyMatch(open::contains);
    }

    void finish() {
        leftOut.clear();
        done = true;
    }
}
