package hyssopturn.relay;

import java.time.Duration;

/**
 * How long a stream has waited for its next event, and what that shows; pure.
 *
 * <p>Answers engines that die without a word, slow ones, and ones that let requests wait.
 */
final class EventWait {
    /** Time without a first event after which another chain is tried; callers leave after 2 s. */
    static final Duration FIRST_EVENT_LIMIT = Duration.ofMillis(1_200);

    /** How often it is looked for another chain while the first event is overdue. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    /** Usual times between events after which the engines of a stream are checked for life. */
    private static final double LATE_GAPS = 2;

    /** Usual times between events after which the first engine is asked why none comes. */
    private static final double QUIET_GAPS = 4;

    private final RelaySettings settings;
    private final StreamPace pace = new StreamPace();
    private boolean begun;
    private long sinceNanos;
    private long askedNanos = Long.MIN_VALUE;
    private long retryNanos;

    EventWait(RelaySettings settings) {
        this.settings = settings;
    }

    /** Notes that a chain gets the request now. */
    void offered(long nowNanos) {
        begun = false;
        sinceNanos = nowNanos;
    }

    /** Notes that the chain has delivered events. */
    void delivered(long nowNanos) {
        if (begun) {
            pace.gap(nowNanos - sinceNanos);
        }
        begun = true;
        sinceNanos = nowNanos;
    }

    /** Notes that the first engine was asked, or told something that takes a while. */
    void asked(long nowNanos) {
        askedNanos = nowNanos;
    }

    /** Tells whether the chain has delivered an event. */
    boolean begun() {
        return begun;
    }

    /** Tells whether the engines should be checked for life. */
    boolean late(long nowNanos) {
        Duration least = begun ? settings.gapCheck() : settings.firstEventCheck();
        return pace.overdue(nowNanos - sinceNanos, least, LATE_GAPS);
    }

    /** Tells whether the first engine should be asked why no event comes. */
    boolean quiet(long nowNanos) {
        Duration least = begun ? settings.gapStall() : settings.firstEventStall();
        return pace.overdue(nowNanos - Math.max(sinceNanos, askedNanos), least, QUIET_GAPS);
    }

    /**
     * Tells whether the first engine lets the request wait. One whose memory is full does, as it
     * refuses only requests for which it stands behind the first place of a chain.
     */
    boolean firstOverdue(long nowNanos) {
        return !begun && nowNanos - sinceNanos >= settings.firstEventStall().toNanos();
    }

    /** Tells whether to look for another chain now, as the caller will soon give up. */
    boolean mustMove(long nowNanos) {
        boolean due = nowNanos - sinceNanos >= FIRST_EVENT_LIMIT.toNanos();
        if (begun || !due || nowNanos < retryNanos) {
            return false;
        }
        retryNanos = nowNanos + RETRY_INTERVAL.toNanos();
        return true;
    }
}
