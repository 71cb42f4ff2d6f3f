package hyssopturn.log;

import com.google.common.flogger.FluentLogger;

import hyssopturn.port.Clock;
import hyssopturn.port.FailedException;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.port.TrimmedException;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Follows a keyed stream: reads a snapshot with the newest record of each key, then every record in
 * order.
 *
 * <p>Runs on the thread of its clock; the log must complete its answers on the same thread.
 */
public final class KeyedFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int WARN_SECONDS = 5;

    private final KeyedLog log;
    private final String stream;
    private Pacing pacing;
    private final Clock clock;
    private final Backoff backoff;
    private final Listener listener;
    private long next = -1;
    private long attempt;
    private boolean failing;
    private boolean stopped;
    private boolean suspended;
    private boolean idle;
    private boolean resumed;
    private long readNanos;
    private long listedNanos;
    private long reads;

    /**
     * Timing of the reads.
     *
     * @param readWait how long a read waits for a record (long poll)
     * @param pause time between an answer and the next read
     */
    public record Pacing(Duration readWait, Duration pause) {}

    /** Receives the records. */
    public interface Listener {
        /**
         * Receives the newest record of every key; a key that is missing has no value.
         *
         * @param page the records
         */
        void snapshot(KeyedLog.Page page);

        /**
         * Receives the records after those received before.
         *
         * @param page the records, possibly none
         */
        void records(KeyedLog.Page page);

        /**
         * Receives records that another node has read.
         *
         * @param page the records, possibly none
         * @param readNanos time as of which they are all that the stream holds
         */
        default void records(KeyedLog.Page page, long readNanos) {
            records(page);
        }

        /** Receives that the stream has returned from an older copy and is read anew. */
        default void restored() {
            // what the listener knows may be more than the stream holds, and stays true
        }

        /**
         * Receives the error of a read that failed.
         *
         * @param error error of the read
         */
        void readFailed(PortException error);
    }

    /**
     * Creates a follower that has not started.
     *
     * @param log the log
     * @param stream name of the stream
     * @param pacing timing of the reads
     * @param clock clock and timers
     * @param backoff delays after failed reads
     * @param listener receives the records
     */
    public KeyedFollower(
            KeyedLog log,
            String stream,
            Pacing pacing,
            Clock clock,
            Backoff backoff,
            Listener listener) {
        this.log = log;
        this.stream = stream;
        this.pacing = pacing;
        this.clock = clock;
        this.backoff = backoff;
        this.listener = listener;
    }

    /** Starts reading. */
    public void start() {
        read();
    }

    /** Stops reading after the read in progress. */
    public void stop() {
        stopped = true;
    }

    /** Reads again, at once if reads were suspended. */
    public void resume() {
        if (suspended) {
            suspended = false;
            if (idle) {
                resumed = true;
                read();
            }
        }
    }

    /** Reads once without waiting for a record, if reads are suspended and none is in progress. */
    public void readOnce() {
        if (suspended && idle) {
            read();
        }
    }

    /**
     * Changes the timing, from the next read on.
     *
     * @param timing timing of the reads
     */
    public void pace(Pacing timing) {
        pacing = timing;
    }

    /**
     * Receives records that another node has read, and suspends reads. They replace a read in
     * progress.
     *
     * @param page the records and the offset after them
     * @param from offset from which the page is complete
     * @param asOfNanos time as of which the page is all that the stream holds
     * @return false if this node knows more records, or some are missing in between
     */
    public boolean receive(KeyedLog.Page page, long from, long asOfNanos) {
        boolean fits = next >= 0 && from <= next && page.next() >= next;
        if (stopped || !fits) {
            return false;
        }
        suspended = true;
        attempt++;
        idle = true;
        failing = false;
        backoff.reset();
        long known = next;
        KeyedLog.Page news =
                new KeyedLog.Page(
                        page.entries().stream().filter(e -> e.offset() >= known).toList(),
                        page.next());
        next = page.next();
        readNanos = asOfNanos - readNanos > 0 ? asOfNanos : readNanos;
        tell(() -> listener.records(news, readNanos));
        return true;
    }

    /**
     * Returns the offset to read from next.
     *
     * @return the offset, negative if the stream must be listed first
     */
    public long next() {
        return next;
    }

    /**
     * Returns the time as of which the listener has received all that the stream holds.
     *
     * @return the time by the clock, meaningless before the first answer
     */
    public long readNanos() {
        return readNanos;
    }

    /**
     * Returns the time at which the stream was last listed as a whole.
     *
     * @return the time by the clock, meaningless before the first answer
     */
    public long listedNanos() {
        return listedNanos;
    }

    /**
     * Returns whether the last read failed.
     *
     * @return true until a read succeeds
     */
    public boolean failing() {
        return failing;
    }

    /**
     * Returns whether another node's reads replace those of this one.
     *
     * @return true while reads are suspended
     */
    public boolean suspended() {
        return suspended;
    }

    /**
     * Returns the number of reads since the start.
     *
     * @return the number, failed ones included
     */
    public long reads() {
        return reads;
    }

    private void read() {
        if (stopped) {
            return;
        }
        long thisAttempt = ++attempt;
        idle = false;
        reads++;
        long startNanos = clock.nanos();
        boolean snapshot = next < 0;
        // after a failure, a long poll would delay the detection that the log is available again;
        // after reads were suspended, it would delay the confirmation of what is known
        boolean prompt = failing || suspended || resumed;
        resumed = false;
        Duration readWait = prompt ? Duration.ZERO : pacing.readWait();
        request(snapshot, readWait)
                .whenComplete(
                        (p, error) -> {
                            if (thisAttempt != attempt) {
                                return;
                            }
                            if (error != null) {
                                readFailed(error);
                            } else {
                                handleAnswer(startNanos, snapshot, readWait, p);
                            }
                        });
    }

    private CompletableFuture<KeyedLog.Page> request(boolean snapshot, Duration readWait) {
        try {
            return snapshot ? log.newest(stream) : log.read(stream, next, readWait);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Reads the stream anew, since offsets have another meaning; a read in progress is ignored. */
    public void restart() {
        if (attempt > 0 && !stopped) {
            next = -1;
            tell(listener::restored);
            read();
        }
    }

    private void handleAnswer(
            long startNanos, boolean snapshot, Duration readWait, KeyedLog.Page page) {
        backoff.reset();
        failing = false;
        next = page.next();
        readNanos = asOf(startNanos, page.entries().isEmpty() ? readWait : Duration.ZERO);
        if (snapshot) {
            // the listing may lack records that are only now repeated
            suspended = false;
            listedNanos = clock.nanos();
            tell(() -> listener.snapshot(page));
        } else {
            tell(() -> listener.records(page));
        }
        readAfter(snapshot ? Duration.ZERO : pacing.pause());
    }

    /** Returns the earliest time at which the log can have given an answer. */
    private long asOf(long startNanos, Duration waited) {
        long nowNanos = clock.nanos();
        return startNanos + Math.min(waited.toNanos(), nowNanos - startNanos);
    }

    /** Continues after a delay, unless the stream is read anew by then. */
    private void readAfter(Duration delay) {
        long thisAttempt = attempt;
        clock.after(
                delay,
                () -> {
                    if (thisAttempt == attempt) {
                        readUnlessSuspended();
                    }
                });
    }

    private void readUnlessSuspended() {
        if (suspended && !failing) {
            idle = true;
        } else {
            read();
        }
    }

    private void readFailed(Throwable error) {
        if (stopped) {
            return;
        }
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof TrimmedException) {
            next = -1;
            read();
            return;
        }
        failing = true;
        logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                "stream=%s unreadable: %s", stream, cause);
        PortException failure =
                cause instanceof PortException known
                        ? known
                        : new FailedException("answer cannot be read: " + cause);
        tell(() -> listener.readFailed(failure));
        readAfter(backoff.next());
    }

    /** Calls the listener; an unexpected error must not end the reads. */
    private void tell(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException | StackOverflowError e) {
            logger.atSevere().withCause(e).log("stream=%s: listener failed", stream);
        }
    }
}
