package hyssopturn.port;

import hyssopturn.model.Bytes;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** The platform's append-only log; the only means of consensus and of durable storage. */
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
     * @param from offset of the first record to read; if it is no longer retained, the read starts
     *     at the lowest retained offset
     * @param max maximum number of records
     * @param wait maximum time to wait for a first record
     * @return the page, empty if the wait timed out; fails with a {@link PortException}
     */
    CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait);
}
