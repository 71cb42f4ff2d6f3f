package hyssopturn.log;

import com.google.common.flogger.FluentLogger;

import hyssopturn.port.Clock;
import hyssopturn.port.FailedException;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.port.TrimmedException;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Follows a keyed stream: the newest record of each key first, then every record in order.
 *
 * <p>Runs on the thread of its clock; the log's answers must come on the same thread.
 */
public final class KeyedFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int WARN_SECONDS = 5;

    private final KeyedLog log;
    private final String stream;
    private final Pacing pacing;
    private final Clock clock;
    private final Backoff backoff;
    private final Listener listener;
    private long next = -1;
    private boolean failing;
    private boolean stopped;

    /**
     * When to read.
     *
     * @param patience how long a read waits for a record
     * @param pause time from one answer to the next read
     */
    public record Pacing(Duration patience, Duration pause) {}

    /** Gets what was read. */
    public interface Listener {
        /**
         * Takes the newest record of every key; a key that is missing has no value.
         *
         * @param page the records
         */
        void whole(KeyedLog.Page page);

        /**
         * Takes records that came since.
         *
         * @param page the records, possibly none
         */
        void records(KeyedLog.Page page);

        /**
         * Takes note that the log did not answer.
         *
         * @param error what went wrong
         */
        void unreadable(PortException error);
    }

    /**
     * Creates a follower that has not started.
     *
     * @param log the log
     * @param stream name of the stream
     * @param pacing when to read
     * @param clock time
     * @param backoff delays after failures
     * @param listener gets what was read
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

    /** Stops after the read in progress. */
    public void stop() {
        stopped = true;
    }

    private void read() {
        if (stopped) {
            return;
        }
        boolean whole = next < 0;
        // a read that waits would find out late that the log is back
        Duration patience = failing ? Duration.ZERO : pacing.patience();
        var page = whole ? log.newest(stream) : log.read(stream, next, patience);
        page.whenComplete((p, error) -> answered(whole, p, error));
    }

    private void answered(boolean whole, KeyedLog.Page page, Throwable error) {
        if (error != null) {
            failed(error);
            return;
        }
        backoff.reset();
        failing = false;
        next = page.next();
        if (whole) {
            listener.whole(page);
        } else {
            listener.records(page);
        }
        clock.after(whole ? Duration.ZERO : pacing.pause(), this::read);
    }

    private void failed(Throwable error) {
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
        listener.unreadable(
                cause instanceof PortException known
                        ? known
                        : new FailedException("answer cannot be read: " + cause));
        clock.after(backoff.next(), this::read);
    }
}
