package hyssopturn.port;

import hyssopturn.model.Bytes;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** The platform's append-only log; the only place where anything is agreed or kept. */
public interface LogService {
    /**
     * Appends one record.
     *
     * @param stream name of the stream
     * @param data the record
     * @return its offset; fails with {@link RefusedException} if it certainly was not appended and
     *     with {@link InDoubtException} if it may have been
     */
    CompletableFuture<Long> append(String stream, Bytes data);

    /**
     * Reads records in order, waiting for the first one if there is none yet.
     *
     * @param stream name of the stream
     * @param from offset of the first record wanted; lower than what is retained reads from there
     * @param max greatest number of records
     * @param wait how long to wait for a first record
     * @return the page, empty after the wait; fails with a {@link PortException}
     */
    CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait);
}
