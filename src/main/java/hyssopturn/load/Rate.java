package hyssopturn.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A count, and how fast it grew of late. */
final class Rate {
    /** Time between two marks from which the growth is computed. */
    private static final long MARK_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final Deque<Mark> marks = new ArrayDeque<>();
    private final int marksKept;
    private long total;

    /** Creates a count of zero whose growth is over about a number of seconds. */
    Rate(double seconds) {
        marksKept = (int) Math.ceil(seconds * SECOND_NANOS / MARK_INTERVAL_NANOS);
    }

    private record Mark(long nanos, long total) {}

    void add(long amount) {
        total += amount;
    }

    /** Returns the growth in a second, of late or since the first call. */
    double perSecond(long nowNanos) {
        if (marks.isEmpty() || nowNanos - marks.getLast().nanos >= MARK_INTERVAL_NANOS) {
            marks.addLast(new Mark(nowNanos, total));
        }
        while (marks.size() > marksKept) {
            marks.removeFirst();
        }
        Mark first = marks.getFirst();
        double seconds = Math.max(nowNanos - first.nanos, MARK_INTERVAL_NANOS) / SECOND_NANOS;
        return (total - first.total) / seconds;
    }
}
