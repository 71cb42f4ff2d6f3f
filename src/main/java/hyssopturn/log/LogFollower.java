package hyssopturn.log;

import com.google.common.flogger.FluentLogger;

import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Reads a stream of the log from its start on, for ever, and hands on each page in order.
 *
 * <p>A read that gives no answer in time is given up and tried again; its late answer is ignored. A
 * page whose {@link LogPage#first} is above the offset after the last record handed on shows that
 * records were dropped unread; the receiver decides what that means.
 */
public final class LogFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int PAGE = 250;
    private static final Duration WAIT = Duration.ofSeconds(2);
    private static final Duration READ_LIMIT = WAIT.plusMillis(1_500);

    private final LogService log;
    private final String stream;
    private final Clock clock;
    private final Consumer<LogPage> receiver;
    private final Backoff backoff;
    private boolean failing;
    private boolean stopped;
    private long next = 1;
    private long attempt;
    private Clock.Timer limit = () -> {};

    /**
     * Creates a follower that has not started.
     *
     * @param log the log
     * @param stream name of the stream
     * @param clock time
     * @param receiver gets every page, one at a time
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

    /** Stops reading; a page on its way is not handed on any more. */
    public synchronized void stop() {
        stopped = true;
        attempt++;
        limit.cancel();
    }

    /**
     * Tells whether the stream can be read.
     *
     * @return false from a failed read until the next one that succeeds
     */
    public synchronized boolean healthy() {
        return !failing;
    }

    private void read() {
        long mine;
        long from;
        Duration wait;
        synchronized (this) {
            if (stopped) {
                return;
            }
            mine = ++attempt;
            from = next;
            // the first answer, also after a failure, must come at once to show that the log is
            // there
            wait = failing || mine == 1 ? Duration.ZERO : WAIT;
            limit = clock.after(READ_LIMIT, () -> failed(mine, "no answer in time"));
        }
        log.read(stream, from, PAGE, wait)
                .whenComplete(
                        (page, error) -> {
                            if (error == null) {
                                received(mine, page);
                            } else {
                                failed(mine, error);
                            }
                        });
    }

    private void received(long mine, LogPage page) {
        synchronized (this) {
            if (mine != attempt) {
                return;
            }
            attempt++;
            limit.cancel();
            noteSuccess();
            next = page.next();
        }
        receiver.accept(page);
        clock.after(Duration.ZERO, this::read);
    }

    private void failed(long mine, Object error) {
        Duration delay;
        synchronized (this) {
            if (mine != attempt) {
                return;
            }
            attempt++;
            limit.cancel();
            noteFailure(error);
            delay = backoff.next();
        }
        clock.after(delay, this::read);
    }

    private void noteSuccess() {
        backoff.reset();
        if (failing) {
            failing = false;
            logger.atInfo().log("stream=%s state=readable", stream);
        }
    }

    private void noteFailure(Object error) {
        if (!failing) {
            failing = true;
            logger.atWarning().log("stream=%s state=unreadable error=%s", stream, error);
        }
    }
}
