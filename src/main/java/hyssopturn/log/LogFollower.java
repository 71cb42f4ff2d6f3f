package hyssopturn.log;

import com.google.common.flogger.FluentLogger;

import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Reads a stream of the log from its start, without end, and passes each page on in order.
 *
 * <p>A read without an answer in time is abandoned and retried; its late answer is ignored. If the
 * {@link LogPage#first} of a page is above the offset after the last record passed on, the log
 * dropped records before they were read; the receiver must handle that.
 */
public final class LogFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int PAGE_SIZE = 250;
    private static final Duration READ_WAIT = Duration.ofSeconds(2);
    private static final Duration READ_TIMEOUT = READ_WAIT.plusMillis(1_500);

    private final LogService log;
    private final String stream;
    private final Clock clock;
    private final Consumer<LogPage> receiver;
    private final Backoff backoff;
    private boolean failing;
    private boolean stopped;
    private long next = 1;
    private long attempt;
    private Clock.Timer timeout = () -> {};

    /**
     * Creates a follower that has not started.
     *
     * @param log the log
     * @param stream name of the stream
     * @param clock clock and timers
     * @param receiver receives every page, one at a time
     */
    public LogFollower(LogService log, String stream, Clock clock, Consumer<LogPage> receiver) {
        this.log = log;
        this.stream = stream;
        this.clock = clock;
        this.receiver = receiver;
        backoff = new Backoff(new SplittableRandom(clock.nanos()));
    }

    /** Starts reading. */
    public void start() {
        read();
    }

    /** Stops reading; the page of a read in progress is not passed on. */
    public synchronized void stop() {
        stopped = true;
        attempt++;
        timeout.cancel();
    }

    /**
     * Returns whether the last read of the stream succeeded.
     *
     * @return false from a failed read until the next one that succeeds
     */
    public synchronized boolean healthy() {
        return !failing;
    }

    private void read() {
        long thisAttempt;
        long from;
        Duration wait;
        synchronized (this) {
            if (stopped) {
                return;
            }
            thisAttempt = ++attempt;
            from = next;
            // the first read, also after a failure, must not wait, to show that the log is
            // available
            wait = failing || thisAttempt == 1 ? Duration.ZERO : READ_WAIT;
            timeout = clock.after(READ_TIMEOUT, () -> failed(thisAttempt, "no answer in time"));
        }
        log.read(stream, from, PAGE_SIZE, wait)
                .whenComplete(
                        (page, error) -> {
                            if (error == null) {
                                received(thisAttempt, page);
                            } else {
                                failed(thisAttempt, error);
                            }
                        });
    }

    private void received(long thisAttempt, LogPage page) {
        synchronized (this) {
            if (thisAttempt != attempt) {
                return;
            }
            attempt++;
            timeout.cancel();
            recordSuccess();
            next = page.next();
        }
        receiver.accept(page);
        clock.after(Duration.ZERO, this::read);
    }

    private void failed(long thisAttempt, Object error) {
        Duration delay;
        synchronized (this) {
            if (thisAttempt != attempt) {
                return;
            }
            attempt++;
            timeout.cancel();
            recordFailure(error);
            delay = backoff.next();
        }
        clock.after(delay, this::read);
    }

    private void recordSuccess() {
        backoff.reset();
        if (failing) {
            failing = false;
            logger.atInfo().log("stream=%s state=readable", stream);
        }
    }

    private void recordFailure(Object error) {
        if (!failing) {
            failing = true;
            logger.atWarning().log("stream=%s state=unreadable error=%s", stream, error);
        }
    }
}
