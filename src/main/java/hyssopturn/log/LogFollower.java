package hyssopturn.log;

import com.google.common.flogger.FluentLogger;

import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;

import java.time.Duration;
import java.util.function.Consumer;

/** Reads a stream of the log from its start on, for ever, and hands on each page in order. */
public final class LogFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int PAGE = 1_000;
    private static final Duration WAIT = Duration.ofSeconds(2);
    private static final Duration PAUSE = Duration.ofMillis(200);

    private final LogService log;
    private final String stream;
    private final Clock clock;
    private final Consumer<LogPage> receiver;
    private boolean failing;
    private volatile boolean stopped;
    private long next = 1;

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
    }

    /** Starts reading. */
    public void start() {
        read();
    }

    /** Stops reading after the call under way. */
    public void stop() {
        stopped = true;
    }

    private void read() {
        if (!stopped) {
            log.read(stream, next, PAGE, WAIT).whenComplete(this::received);
        }
    }

    private void received(LogPage page, Throwable error) {
        if (error != null) {
            noteFailure(error);
            clock.after(PAUSE, this::read);
            return;
        }
        failing = false;
        next = page.next();
        receiver.accept(page);
        clock.after(Duration.ZERO, this::read);
    }

    private void noteFailure(Throwable error) {
        if (!failing) {
            failing = true;
            logger.atWarning().log("stream=%s state=unreadable error=%s", stream, error);
        }
    }
}
