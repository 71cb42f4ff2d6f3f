package hyssopturn.port;

import hyssopturn.model.Bytes;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** Compacted streams of the platform's log: the newest record of each key is kept permanently. */
public interface KeyedLog {
    /**
     * A record.
     *
     * @param key key of the record
     * @param value its value, empty for a tombstone
     * @param offset its offset in the stream
     */
    record Entry(String key, Optional<Bytes> value, long offset) {}

    /**
     * Records returned by a read.
     *
     * @param entries the records, oldest first
     * @param next offset to read from next
     */
    record Page(List<Entry> entries, long next) {}

    /**
     * Reads the newest record of each key.
     *
     * @param stream name of the stream
     * @return all keys that have a value and the offset to continue from; fails with a {@link
     *     PortException}
     */
    CompletableFuture<Page> newest(String stream);

    /**
     * Appends a record.
     *
     * @param stream name of the stream
     * @param key key of the record
     * @param value its value
     * @return completes when the record is stored; fails with a {@link PortException}
     */
    CompletableFuture<Void> append(String stream, String key, Bytes value);

    /**
     * Reads records in order.
     *
     * @param stream name of the stream
     * @param from offset of the first record
     * @param wait maximum time to wait for a record if there is none
     * @return the records, none if the wait timed out; fails with {@link TrimmedException} if the
     *     record at the offset is no longer kept, and with another {@link PortException} if the log
     *     did not answer
     */
    CompletableFuture<Page> read(String stream, long from, Duration wait);

    /**
     * Registers a listener for the return of the log from an older copy. What was written since the
     * copy was made is lost, and its offsets are given out again, so all streams must be read anew.
     *
     * @param listener called before any answer that was given after the return is passed on
     */
    void whenRestored(Runnable listener);

    /**
     * Returns the era of the log, which grows each time it returns from an older copy.
     *
     * @return the era that was last told, empty if the log has told none
     */
    OptionalLong era();
}
