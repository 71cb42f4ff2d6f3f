package hyssopturn.node;

import hyssopturn.catalog.CallerLimits;
import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides when a caller's connection ends because its caller is silent; not thread-safe.
 *
 * <p>A connection never ends while an answer is awaited. The limits are those of the configuration
 * in force; a connection that is idle when they change keeps the longer ones.
 */
final class CallerTimeouts {
    /** Time added to the operator's limits, for what is on its way and for late timers. */
    static final Duration MARGIN = Duration.ofSeconds(1);

    /** How long a caller may read nothing of an answer that is complete. */
    static final Duration UNREAD_ANSWER_TIMEOUT = Duration.ofSeconds(60);

    private static final long NEVER = Long.MAX_VALUE;

    private final Clock clock;
    private final Supplier<CallerLimits> limits;
    private final Connection connection;
    private int unanswered;
    private int unsent;
    private boolean bodyOpen;
    private boolean headBegun;
    private long silentSinceNanos;
    private Duration idleTimeout;
    private long unsentBytes;
    private Optional<Clock.Timer> timer = Optional.empty();
    private long timerNanos = NEVER;
    private boolean closed;

    /** What a connection does when a timeout has passed. */
    interface Connection {
        /** Closes the connection, on which nothing is awaited. */
        void close();

        /** Answers that the head of the request took too long, and closes the connection. */
        void answerHeadTimeout();

        /** Returns the number of bytes that the caller has not read yet. */
        long unsentBytes();
    }

    /**
     * Creates the timeouts of a new connection.
     *
     * @param clock clock and timer of the connection's event loop
     * @param limits returns the limits in force
     * @param connection the connection
     */
    CallerTimeouts(Clock clock, Supplier<CallerLimits> limits, Connection connection) {
        this.clock = clock;
        this.limits = limits;
        this.connection = connection;
        silent();
        schedule();
    }

    /** Records that bytes have arrived, before they are decoded. */
    void bytesRead() {
        if (bodyOpen) {
            silent();
        } else if (!headBegun) {
            headBegun = true;
            silent();
        }
    }

    /** Records that all bytes that have arrived are decoded. */
    void readCompleted() {
        if (headBegun) {
            schedule();
        }
    }

    /** Records that the head of a request is complete. */
    void headCompleted() {
        headBegun = false;
        bodyOpen = true;
        unanswered++;
    }

    /** Records that the body of a request is complete. */
    void bodyCompleted() {
        bodyOpen = false;
    }

    /**
     * Records that the end of an answer was written, though not yet sent. An answer to what could
     * not be decoded may have no request.
     */
    void answerWritten() {
        unanswered = Math.max(0, unanswered - 1);
        unsent++;
        unsentBytes = connection.unsentBytes();
        silent();
        schedule();
    }

    /** Records that the end of an answer was sent. */
    void answerSent() {
        unsent--;
        silent();
        schedule();
    }

    /** Records that the connection has ended. */
    void closed() {
        closed = true;
        timer.ifPresent(Clock.Timer::cancel);
    }

    /** Returns whether a request is read, awaits its answer, or has one that is not yet sent. */
    boolean requestOpen() {
        return unanswered > 0 || unsent > 0;
    }

    /** Returns whether an answer was written though the body of its request is incomplete. */
    boolean bodyAnswered() {
        return bodyOpen && unanswered == 0;
    }

    /** Returns whether a request has no answer yet. */
    boolean answerPending() {
        return unanswered > 0;
    }

    /** Returns whether an answer is awaited, though the whole request has been read. */
    boolean answerAwaited() {
        return unanswered > 0 && !bodyOpen;
    }

    /** Returns whether the head or body of a request is incomplete. */
    boolean requestIncomplete() {
        return headBegun || bodyOpen;
    }

    /** Returns since when the caller has neither sent nor read anything. */
    long silentSinceNanos() {
        return silentSinceNanos;
    }

    private void silent() {
        silentSinceNanos = clock.nanos();
        idleTimeout = limits.get().idleTimeout();
    }

    private long dueNanos() {
        if (closed || unanswered > 0) {
            return NEVER;
        }
        return silentSinceNanos + allowed().toNanos();
    }

    private Duration allowed() {
        if (unsent > 0) {
            return UNREAD_ANSWER_TIMEOUT;
        }
        if (headBegun) {
            return limits.get().headTimeout().plus(MARGIN);
        }
        Duration inForce = limits.get().idleTimeout();
        return (inForce.compareTo(idleTimeout) > 0 ? inForce : idleTimeout).plus(MARGIN);
    }

    /** Makes sure that the timer runs no later than the next timeout; it may run earlier. */
    private void schedule() {
        long due = dueNanos();
        if (due >= timerNanos) {
            return;
        }
        timer.ifPresent(Clock.Timer::cancel);
        timerNanos = due;
        timer = Optional.of(clock.after(Duration.ofNanos(due - clock.nanos()), this::check));
    }

    private void check() {
        timerNanos = NEVER;
        timer = Optional.empty();
        if (dueNanos() > clock.nanos()) {
            schedule();
        } else if (unsent > 0) {
            closeIfUnread();
        } else if (headBegun) {
            connection.answerHeadTimeout();
        } else {
            connection.close();
        }
    }

    private void closeIfUnread() {
        long left = connection.unsentBytes();
        if (left >= unsentBytes) {
            connection.close();
            return;
        }
        unsentBytes = left;
        silent();
        schedule();
    }
}
