package hyssopturn.ledger;

import hyssopturn.log.Backoff;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Groups entries into records and appends one record at a time, until it is certainly in the log.
 *
 * <p>A record whose append is in doubt is appended again unchanged: its sequence number makes all
 * but the first copy void. Only an append that was certainly refused may be put together anew.
 */
final class Outbox {
    private static final int MAX_ENTRIES = 500;
    private static final int MAX_BYTES = 64 << 10;
    private static final int ENTRY_BYTES = 120;
    private static final long APPEND_LIMIT_NANOS = Duration.ofSeconds(1).toNanos();

    private final Backoff backoff;
    private final Deque<LedgerEntry> queue = new ArrayDeque<>();
    private boolean withFloor;
    private Optional<Batch> inFlight = Optional.empty();
    private boolean asked;
    private boolean doubtful;
    private int failures;
    private boolean refusedLast;
    private long sequence = 1;
    private long attempt;
    private long retryNanos;
    private long sentNanos;

    Outbox(RandomGenerator random) {
        backoff = new Backoff(random);
    }

    void offer(LedgerEntry entry) {
        queue.addLast(entry);
    }

    /** Asks for a record that tells the floor, even if it holds no entry. */
    void offerFloor() {
        withFloor = true;
    }

    /** Tells whether nothing waits to be appended. */
    boolean idle() {
        return inFlight.isEmpty() && queue.isEmpty();
    }

    /** Tells whether the log does not take appends now, so that a claim has no chance. */
    boolean failing(long now) {
        boolean lost = refusedLast || failures > 1;
        return lost && (inFlight.isPresent() || now < retryNanos);
    }

    /** Returns when something is due, if it is. */
    Optional<Long> dueNanos(long now, long gapNanos) {
        if (inFlight.isPresent()) {
            return Optional.of(asked ? sentNanos + APPEND_LIMIT_NANOS : retryNanos);
        }
        if (queue.isEmpty() && !withFloor) {
            return Optional.empty();
        }
        return Optional.of(Math.max(retryNanos, failures > 0 ? now : sentNanos + gapNanos));
    }

    /** What a record is put together with. */
    record Stamp(
            String author, long timeMillis, long readTo, Supplier<Optional<Batch.Floor>> floor) {}

    /**
     * Returns the record to append now, if one is due.
     *
     * @param fresh makes an entry say what its author knows now, or drops it
     */
    Optional<Batch> next(
            long now,
            long gapNanos,
            Stamp stamp,
            Function<LedgerEntry, Optional<LedgerEntry>> fresh) {
        if (asked && now - sentNanos >= APPEND_LIMIT_NANOS) {
            doubt(now);
        }
        Optional<Long> due = dueNanos(now, gapNanos);
        if (asked || due.isEmpty() || due.get() > now) {
            return Optional.empty();
        }
        if (inFlight.isEmpty()) {
            inFlight = group(stamp, fresh);
        }
        if (inFlight.isPresent()) {
            asked = true;
            attempt++;
            sentNanos = now;
        }
        return inFlight;
    }

    private Optional<Batch> group(Stamp stamp, Function<LedgerEntry, Optional<LedgerEntry>> fresh) {
        List<LedgerEntry> entries = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && entries.size() < MAX_ENTRIES && bytes < MAX_BYTES) {
            Optional<LedgerEntry> entry = fresh.apply(queue.pollFirst());
            entry.ifPresent(entries::add);
            bytes += entry.map(Outbox::size).orElse(0);
        }
        if (entries.isEmpty() && !withFloor) {
            return Optional.empty();
        }
        Optional<Batch.Floor> floor = withFloor ? stamp.floor().get() : Optional.empty();
        withFloor = false;
        doubtful = false;
        return Optional.of(
                new Batch(
                        stamp.author(),
                        sequence,
                        stamp.timeMillis(),
                        stamp.readTo(),
                        floor,
                        entries));
    }

    private static int size(LedgerEntry entry) {
        return ENTRY_BYTES
                + switch (entry) {
                    case LedgerEntry.Settled settled -> settled.answer().size();
                    case LedgerEntry.Carried(var call, var body, var claim, var at, var progress) ->
                            progress instanceof Progress.Ended(var outcome, var answer)
                                    ? answer.size()
                                    : 0;
                    case LedgerEntry.Claimed claimed -> claimed.key().key().length();
                    case LedgerEntry.Released released -> 0;
                };
    }

    /** Names the latest append, so that answers to earlier ones can be told apart. */
    long attempt() {
        return attempt;
    }

    /**
     * Notes that the record with a sequence number is in the log; returns it if it was in flight.
     */
    Optional<Batch> landed(long landedSequence) {
        Optional<Batch> batch = inFlight.filter(b -> b.sequence() == landedSequence);
        if (batch.isPresent()) {
            inFlight = Optional.empty();
            asked = false;
            sequence++;
            healthy();
        }
        return batch;
    }

    private void healthy() {
        failures = 0;
        refusedLast = false;
        retryNanos = sentNanos;
        backoff.reset();
    }

    /**
     * Notes that an append was certainly refused.
     *
     * @return the claims that will not be appended any more
     */
    List<LedgerEntry.Claimed> refused(long refusedAttempt, long now) {
        if (refusedAttempt != attempt || !asked) {
            return List.of();
        }
        fail(now);
        refusedLast = true;
        if (doubtful) {
            return List.of();
        }
        List<LedgerEntry> entries = inFlight.orElseThrow().entries();
        inFlight = Optional.empty();
        List<LedgerEntry.Claimed> claims = new ArrayList<>();
        for (LedgerEntry entry : entries.reversed()) {
            if (entry instanceof LedgerEntry.Claimed claim) {
                claims.add(claim);
            } else {
                queue.addFirst(entry);
            }
        }
        return claims;
    }

    /** Notes that an append may or may not have taken effect. */
    void doubted(long doubtedAttempt, long now) {
        if (doubtedAttempt == attempt && asked) {
            doubt(now);
        }
    }

    private void doubt(long now) {
        doubtful = true;
        fail(now);
    }

    private void fail(long now) {
        asked = false;
        failures++;
        retryNanos = now + backoff.next().toNanos();
    }
}
