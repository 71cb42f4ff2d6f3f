package hyssopturn.lease;

import hyssopturn.port.LogPage;

import java.util.Optional;

/**
 * What a reader of the stream knows of the lease; a pure function of the records it read.
 *
 * <p>A record is accepted if its author had read every record before it. So of two tries at the
 * same moment the first wins, and a renewal that a waiter has not seen makes the waiter's try fail.
 * The rule needs no history, hence a reader that starts late judges as all others do; it accepts
 * nothing whose predecessors the log has dropped.
 *
 * @param through offset of the last record read
 * @param start first offset since which no record was missed
 * @param last offset of the last try seen since then, accepted or not, 0 if none
 * @param current the accepted try, with its offset as the term
 */
record LeaseState(long through, long start, long last, Optional<Accepted> current) {
    static final LeaseState INITIAL = new LeaseState(0, 1, 0, Optional.empty());

    /** An accepted try. */
    record Accepted(long term, LeaseRecord record) {}

    LeaseState open(long first) {
        return first > through + 1 ? new LeaseState(first - 1, first, 0, Optional.empty()) : this;
    }

    LeaseState apply(LogPage.Entry entry) {
        if (entry.offset() <= through) {
            return this;
        }
        Optional<LeaseRecord> record = LeaseRecord.decode(entry.data());
        if (record.isEmpty()) {
            return new LeaseState(entry.offset(), start, last, current);
        }
        Optional<Accepted> next =
                accepts(record.get(), entry.offset())
                        ? Optional.of(new Accepted(entry.offset(), record.get()))
                        : current;
        return new LeaseState(entry.offset(), start, entry.offset(), next);
    }

    private boolean accepts(LeaseRecord record, long offset) {
        return record.through() < offset
                && record.through() >= start - 1
                && record.through() >= last;
    }
}
