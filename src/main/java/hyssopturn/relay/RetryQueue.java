package hyssopturn.relay;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Streams of a node that wait until they may be sent, in the order in which their callers would
 * probably leave. Does no I/O; the caller passes in the time.
 */
final class RetryQueue {
    /** Number of searches for a chain in one tick. */
    static final int MAX_SEARCHES = 4;

    /** Interval of searches for one stream. */
    static final Duration SEARCH_INTERVAL = Duration.ofMillis(100);

    private final TreeSet<Waiter> waiters =
            new TreeSet<>(
                    Comparator.comparingLong((Waiter w) -> w.leavesNanos)
                            .thenComparingLong(w -> w.number));
    private long added;

    /** A stream that waits. */
    interface Member {
        /** Returns whether the caller has received a part of the answer; such streams go first. */
        boolean begun();

        /** Returns whether the retry budget allows a retry now. */
        boolean affordable();

        /** Starts the next attempt if possible; returns whether the wait is over. */
        boolean tryStart();

        /** Handles the end of the time in which an attempt may be started. */
        void endWait();
    }

    private static final class Waiter {
        private final Member member;
        private final long leavesNanos;
        private final long untilNanos;
        private final long number;
        private long nextSearchNanos;

        Waiter(
                Member member,
                long leavesNanos,
                long untilNanos,
                long number,
                long nextSearchNanos) {
            this.member = member;
            this.leavesNanos = leavesNanos;
            this.untilNanos = untilNanos;
            this.number = number;
            this.nextSearchNanos = nextSearchNanos;
        }
    }

    /**
     * Adds a stream that waits.
     *
     * @param member the stream
     * @param leavesNanos when its caller would probably leave, which decides only the order
     * @param untilNanos when the wait ends at the latest
     * @param searchNanos when a chain is searched for first
     */
    void add(Member member, long leavesNanos, long untilNanos, long searchNanos) {
        waiters.add(new Waiter(member, leavesNanos, untilNanos, added++, searchNanos));
    }

    /** Removes a stream that ended or was started. */
    void remove(Member member) {
        waiters.removeIf(w -> w.member.equals(member));
    }

    boolean isEmpty() {
        return waiters.isEmpty();
    }

    /** Starts the streams that may be retried now, and ends the waits that are over. */
    void tick(long nowNanos) {
        int searches = 0;
        for (Waiter waiter : bySearchTime()) {
            if (!waiters.contains(waiter)) {
                continue;
            }
            if (nowNanos >= waiter.untilNanos) {
                waiters.remove(waiter);
                waiter.member.endWait();
            } else if (searches < MAX_SEARCHES && searchDue(waiter, nowNanos)) {
                searches++;
                search(waiter, nowNanos);
            }
        }
    }

    /**
     * Returns the streams that began before the others, and otherwise in the order in which
     * searches are due, so that none waits for those that search in vain; of several due at once,
     * first those whose callers leave first.
     */
    private List<Waiter> bySearchTime() {
        return waiters.stream()
                .sorted(
                        Comparator.comparing((Waiter w) -> !w.member.begun())
                                .thenComparingLong(w -> w.nextSearchNanos))
                .toList();
    }

    private static boolean searchDue(Waiter waiter, long nowNanos) {
        return nowNanos >= waiter.nextSearchNanos && waiter.member.affordable();
    }

    private void search(Waiter waiter, long nowNanos) {
        waiter.nextSearchNanos = nowNanos + SEARCH_INTERVAL.toNanos();
        if (waiter.member.tryStart()) {
            waiters.remove(waiter);
        }
    }
}
