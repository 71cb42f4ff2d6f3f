package hyssopturn.share;

import hyssopturn.log.KeyedFollower;
import hyssopturn.model.Bytes;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;

/**
 * The latest records of a stream that this node reads, kept for other nodes.
 *
 * <p>An announcement that only repeats the one before is left out, except for some seconds after a
 * change: readers trust an announcement that contradicts what they know only once it is repeated.
 * The last repetition is kept in before a record that differs, so that readers know how recent the
 * announcement was that it replaces. Not thread-safe.
 */
final class StreamRing implements KeyedFollower.Listener {
    /** Greatest number of records. */
    static final int MAX_RECORDS = 4_096;

    /** Greatest size of keys and values together, in bytes. */
    static final int MAX_BYTES = 512 * 1_024;

    /** Greatest size of a key and value that fit into one datagram, in bytes. */
    static final int MAX_RECORD_BYTES = 1_000;

    /**
     * Time after a change during which repetitions are kept; longer than a reader doubts an
     * announcement of an earlier start.
     */
    static final Duration REPEAT_PERIOD = Duration.ofSeconds(5);

    /**
     * Longest time without an announcement of an endpoint. It bounds how long a reader errs that
     * holds another state of the endpoint than the hub assumes.
     */
    static final Duration MAX_SILENCE = Duration.ofSeconds(60);

    private static final int MAX_KEYS = 8_192;

    private final KeyedFollower.Listener listener;
    private final Optional<BiPredicate<Bytes, Bytes>> repeats;
    private final Clock clock;
    private final Deque<KeyedLog.Entry> kept = new ArrayDeque<>();
    private final Map<String, Latest> latest = new HashMap<>();
    private Runnable changed = () -> {};
    private boolean open;
    private long bytes;
    private long floor = -1;
    private long next = -1;

    /**
     * Latest record of a key.
     *
     * @param entry the record
     * @param keptUntilNanos time until which repetitions are kept
     * @param silentUntilNanos time from which the next repetition is kept
     * @param kept true if the record is kept
     */
    private record Latest(
            KeyedLog.Entry entry, long keptUntilNanos, long silentUntilNanos, boolean kept) {}

    /**
     * Creates a ring that keeps nothing yet.
     *
     * @param listener receives all records
     * @param repeats tests whether an announcement only repeats an earlier one, which comes first;
     *     empty if no record of the stream does
     * @param clock time
     */
    StreamRing(
            KeyedFollower.Listener listener,
            Optional<BiPredicate<Bytes, Bytes>> repeats,
            Clock clock) {
        this.listener = listener;
        this.repeats = repeats;
        this.clock = clock;
    }

    /** Sets who is told of records that were kept and of failed reads. */
    void whenChanged(Runnable task) {
        changed = task;
    }

    /** Begins to keep records, from an offset on. */
    void open(long from) {
        if (!open) {
            open = true;
            reset(from);
        }
    }

    /** Drops all records and keeps no more. */
    void close() {
        if (open) {
            open = false;
            reset(-1);
        }
    }

    private void reset(long from) {
        kept.clear();
        latest.clear();
        bytes = 0;
        floor = from;
        next = from;
    }

    /** Returns the offset up to which the stream is known, negative if it is not. */
    long next() {
        return next;
    }

    /**
     * Returns the records that a reader does not know.
     *
     * @param from offset up to which the reader knows the stream
     * @param watched keys of which repetitions are wanted, too
     * @return the records in order, empty if some of them are not kept
     */
    Optional<List<KeyedLog.Entry>> since(long from, List<String> watched) {
        if (!open || floor < 0 || from < floor) {
            return Optional.empty();
        }
        List<KeyedLog.Entry> found = new ArrayList<>();
        for (var all = kept.descendingIterator(); all.hasNext(); ) {
            KeyedLog.Entry entry = all.next();
            if (entry.offset() < from) {
                break;
            }
            found.addFirst(entry);
        }
        for (String key : watched) {
            Latest repeated = latest.get(key);
            if (repeated != null && !repeated.kept() && repeated.entry().offset() >= from) {
                found.add(repeated.entry());
            }
        }
        return Optional.of(found);
    }

    @Override
    public void snapshot(KeyedLog.Page page) {
        if (open) {
            reset(page.next());
        }
        listener.snapshot(page);
    }

    @Override
    public void records(KeyedLog.Page page) {
        if (open && keep(page)) {
            changed.run();
        }
        listener.records(page);
    }

    @Override
    public void records(KeyedLog.Page page, long readNanos) {
        if (open) {
            // what another node passes on is not all that this node would have read
            reset(page.next());
        }
        listener.records(page, readNanos);
    }

    @Override
    public void restored() {
        if (open) {
            reset(-1);
            changed.run();
        }
        listener.restored();
    }

    @Override
    public void readFailed(PortException error) {
        if (open) {
            changed.run();
        }
        listener.readFailed(error);
    }

    private boolean keep(KeyedLog.Page page) {
        if (floor < 0) {
            reset(page.next());
            return true;
        }
        long before = next;
        boolean news = false;
        for (KeyedLog.Entry entry : page.entries()) {
            news |= entry.offset() >= before && keep(entry);
        }
        next = page.next();
        return news;
    }

    /** Keeps a record unless it only repeats an earlier one; returns whether it is kept. */
    private boolean keep(KeyedLog.Entry entry) {
        if (repeats.isEmpty() || entry.value().isEmpty()) {
            flush(latest.remove(entry.key()), entry.offset());
            add(entry);
            return true;
        }
        long now = clock.nanos();
        Latest before = latest.get(entry.key());
        boolean repeat = before != null && repeats(before.entry(), entry);
        if (repeat && now - before.keptUntilNanos() >= 0 && now - before.silentUntilNanos() < 0) {
            latest.put(
                    entry.key(),
                    new Latest(entry, before.keptUntilNanos(), before.silentUntilNanos(), false));
            return false;
        }
        if (!repeat) {
            flush(before, entry.offset());
        }
        add(entry);
        remember(entry, before, repeat, now);
        return true;
    }

    private boolean repeats(KeyedLog.Entry before, KeyedLog.Entry entry) {
        return repeats.get().test(before.value().orElseThrow(), entry.value().orElseThrow());
    }

    private void remember(KeyedLog.Entry entry, Latest before, boolean repeat, long now) {
        if (latest.size() >= MAX_KEYS) {
            latest.clear();
        }
        long keptUntil =
                before == null
                        ? now
                        : repeat ? before.keptUntilNanos() : now + REPEAT_PERIOD.toNanos();
        long silentUntil = now + silence(entry.key());
        latest.put(entry.key(), new Latest(entry, keptUntil, silentUntil, true));
    }

    /** Spreads the announcements of endpoints that appeared together. */
    private static long silence(String key) {
        long half = MAX_SILENCE.toNanos() / 2;
        int buckets = 64;
        return half + half / buckets * Math.floorMod((key.hashCode() * 0x9E3779B9) >>> 8, buckets);
    }

    /** Keeps a repetition that was left out, in front of the record that follows it. */
    private void flush(Latest before, long offset) {
        if (before != null && !before.kept()) {
            KeyedLog.Entry entry = before.entry();
            add(new KeyedLog.Entry(entry.key(), entry.value(), offset));
        }
    }

    private void add(KeyedLog.Entry entry) {
        int size = size(entry);
        if (size > MAX_RECORD_BYTES) {
            kept.clear();
            bytes = 0;
            floor = entry.offset() + 1;
            return;
        }
        kept.addLast(entry);
        bytes += size;
        while (kept.size() > MAX_RECORDS || bytes > MAX_BYTES) {
            KeyedLog.Entry dropped = kept.removeFirst();
            bytes -= size(dropped);
            floor = dropped.offset() + 1;
        }
    }

    /** Returns the number of bytes of a record's key and value. */
    static int size(KeyedLog.Entry entry) {
        return entry.key().getBytes(StandardCharsets.UTF_8).length
                + entry.value().map(Bytes::size).orElse(0);
    }
}
