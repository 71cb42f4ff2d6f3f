package hyssopturn.limit;

import java.util.OptionalLong;
import java.util.Set;

/**
 * Time slots of one endpoint, of which each belongs to one partition and so to one node.
 *
 * <p>The slots follow each other on the wall clock, one for each request of the rate, and the
 * partitions take them in turn. The holder of a slot's partition may send one request from its
 * begin until it is over and a little longer, so the sum over all nodes is the rate, whatever their
 * number, and no node needs to know it.
 *
 * @param held partitions of this node
 * @param partitions number of partitions that the nodes share
 * @param offset partition of the first slot, so that slots of several endpoints differ
 * @param perSecond slots per second of all nodes together, positive
 */
record SlotSchedule(Set<Integer> held, int partitions, int offset, double perSecond) {
    /** Slots after which an unused one is lost, beside those of a part of a second. */
    private static final double BASE_VALID_SLOTS = 1;

    private static final double VALID_SECONDS = 0.6;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the time from one slot to the next. */
    long slotNanos() {
        return Math.max(1, (long) (NANOS_PER_SECOND / perSecond));
    }

    /** Returns the time for which a slot may be used, from its begin. */
    long validNanos() {
        return (long) (BASE_VALID_SLOTS * slotNanos() + VALID_SECONDS * NANOS_PER_SECOND);
    }

    /**
     * Returns the begin of this node's first slot that does not begin before a time.
     *
     * @param fromNanos wall time in nanoseconds since 1970
     * @return wall time, empty if this node holds no partition
     */
    OptionalLong next(long fromNanos) {
        long length = slotNanos();
        long first = Math.ceilDiv(fromNanos, length);
        for (long slot = first; slot < first + partitions; slot++) {
            if (held.contains(Math.floorMod(slot + offset, partitions))) {
                return OptionalLong.of(slot * length);
            }
        }
        return OptionalLong.empty();
    }
}
