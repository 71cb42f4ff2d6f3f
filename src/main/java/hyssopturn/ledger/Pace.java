package hyssopturn.ledger;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Shares the log's rate of appends among the nodes that use it, from what each reads in the log.
 */
final class Pace {
    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

    /** Share of the rate that is used, so that appends do not wait in line at the log. */
    private static final double SHARE = 0.8;

    private final double appendsPerSecond;
    private Set<String> authors = new HashSet<>();
    private int records;
    private Set<String> authorsBefore = Set.of();
    private int recordsBefore;
    private long windowStart;

    Pace(int appendsPerSecond) {
        this.appendsPerSecond = appendsPerSecond * SHARE;
    }

    void observe(String author, long now) {
        turn(now);
        authors.add(author);
        records++;
    }

    /** Returns the least time between two appends of this node, 0 while the log has room. */
    long gapNanos(long now) {
        turn(now);
        if (Math.max(records, recordsBefore) * 2 < appendsPerSecond) {
            return 0;
        }
        int users = Math.max(authors.size(), authorsBefore.size());
        return (long) (WINDOW_NANOS * users / appendsPerSecond);
    }

    private void turn(long now) {
        if (now - windowStart < WINDOW_NANOS) {
            return;
        }
        boolean adjacent = now - windowStart < 2 * WINDOW_NANOS;
        authorsBefore = adjacent ? authors : Set.of();
        recordsBefore = adjacent ? records : 0;
        authors = new HashSet<>();
        records = 0;
        windowStart = now;
    }
}
