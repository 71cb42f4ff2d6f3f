package hyssopturn.ledger;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Writes calls anew before the log drops their records.
 *
 * <p>Every node may do it, after a random delay; what another node has written meanwhile is not due
 * any more, so that one copy is the rule and a second one does no harm.
 */
final class Upkeep {
    private static final int CHUNK = 500;
    private static final long SPREAD_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long BACKLOG_SPREAD_NANOS = Duration.ofMillis(200).toNanos();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETAINED = 256;
    private static final long NEVER = Long.MAX_VALUE;

    private final long halfRetentionMillis;
    private final LedgerFold fold;
    private final Outbox outbox;
    private final RandomGenerator random;
    private long first = 1;
    private long end = 1;
    private long atNanos = NEVER;
    private boolean writing;
    private boolean backlog;

    Upkeep(Duration retention, LedgerFold fold, Outbox outbox, RandomGenerator random) {
        halfRetentionMillis = retention.toMillis() / 2;
        this.fold = fold;
        this.outbox = outbox;
        this.random = random;
    }

    /** Notes which records the log still has. */
    void retained(long firstOffset, long endOffset) {
        first = firstOffset;
        end = endOffset;
    }

    /** Notes that a record of this node is in the log. */
    void landed() {
        writing = false;
    }

    void run(long ledgerMillis, long now) {
        if (writing || !due(ledgerMillis)) {
            atNanos = NEVER;
            return;
        }
        if (atNanos == NEVER) {
            long spread = backlog ? BACKLOG_SPREAD_NANOS : SPREAD_NANOS;
            atNanos =
                    now + random.nextLong(Math.min(spread, halfRetentionMillis * NANOS_PER_MILLI));
        }
        if (now < atNanos) {
            return;
        }
        List<LedgerEntry> entries =
                fold.oldest(CHUNK, ledgerMillis - halfRetentionMillis, oldOffset());
        entries.forEach(outbox::offer);
        outbox.offerFloor();
        fold.forgetAuthors();
        backlog = entries.size() == CHUNK;
        writing = true;
        atNanos = NEVER;
    }

    private boolean due(long ledgerMillis) {
        return fold.anyOlder(ledgerMillis - halfRetentionMillis, oldOffset()) || floorDue();
    }

    /** Newcomers need a record that the log still has and that says how far back to read. */
    private boolean floorDue() {
        return first > 1 && fold.bestFloor() < first;
    }

    /** A log that drops records early shows it by its first offset. */
    private long oldOffset() {
        if (first <= 1) {
            return 0;
        }
        long early = end - first < MIN_RETAINED ? first : first + (end - first) / 4;
        return fold.floorOffset() < first ? Math.max(early, fold.floorHolder()) : early;
    }

    long dueNanos(long ledgerMillis, long now) {
        if (writing) {
            return NEVER;
        }
        if (atNanos != NEVER) {
            return atNanos;
        }
        return fold.oldestMillis()
                .map(oldest -> oldest + halfRetentionMillis - ledgerMillis)
                .map(wait -> now + Math.max(1, wait) * NANOS_PER_MILLI)
                .orElse(NEVER);
    }
}
