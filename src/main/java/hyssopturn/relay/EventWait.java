package hyssopturn.relay;

import java.time.Duration;

/**
 * Decides what to do about an attempt that waits for its next event, from the length of the wait.
 * Does no I/O; the caller passes in the time.
 *
 * <p>This covers engines that crash without closing their connections, slow engines, and engines
 * that keep requests queued.
 */
final class EventWait {
    /** Time without a first event after which another chain is tried; callers give up after 2 s. */
    static final Duration FIRST_EVENT_LIMIT = Duration.ofMillis(1_200);

    /** Interval at which another chain is searched for while the first event is overdue. */
    private static final Duration SWITCH_INTERVAL = Duration.ofMillis(200);

    /**
     * Time until another chain is searched for again after none was found; it doubles each time.
     */
    private static final Duration FIRST_SEARCH_INTERVAL = Duration.ofMillis(200);

    /** Longest time until another chain is searched for again. */
    private static final Duration MAX_SEARCH_INTERVAL = Duration.ofMillis(800);

    /** Multiple of the average gap after which the liveness of a stream's engines is checked. */
    private static final double CHECK_GAPS = 2;

    /** Multiple of the average gap after which the first engine is queried about the stall. */
    private static final double QUERY_GAPS = 4;

    private final RelaySettings settings;
    private final StreamPace pace;
    private boolean begun;
    private long sinceNanos;
    private long queriedNanos = Long.MIN_VALUE;
    private long nextSwitchNanos;
    private long nextSearchNanos;
    private Duration searchInterval = Duration.ZERO;

    /**
     * Creates the wait of one attempt.
     *
     * @param pace time between the events of the stream, which its attempts share
     */
    EventWait(RelaySettings settings, StreamPace pace) {
        this.settings = settings;
        this.pace = pace;
    }

    /** Records that the request is sent to a chain. */
    void attemptStarted(long nowNanos) {
        begun = false;
        sinceNanos = nowNanos;
        nextSearchNanos = nowNanos;
        searchInterval = Duration.ZERO;
    }

    /** Records that the chain has delivered events. */
    void delivered(long nowNanos) {
        if (begun) {
            pace.recordGap(nowNanos - sinceNanos);
        }
        begun = true;
        sinceNanos = nowNanos;
        searchInterval = Duration.ZERO;
    }

    /** Records that the first engine was queried, or received an order that takes some time. */
    void markQueried(long nowNanos) {
        queriedNanos = nowNanos;
    }

    /** Records that no replacement of a suspected engine could be found or used. */
    void markNotReplaced(long nowNanos) {
        Duration longer =
                searchInterval.isZero() ? FIRST_SEARCH_INTERVAL : searchInterval.multipliedBy(2);
        searchInterval = longer.compareTo(MAX_SEARCH_INTERVAL) < 0 ? longer : MAX_SEARCH_INTERVAL;
        nextSearchNanos = nowNanos + searchInterval.toNanos();
    }

    /** Returns whether a replacement of a suspected engine may be searched for. */
    boolean searchDue(long nowNanos) {
        return nowNanos >= nextSearchNanos;
    }

    /** Returns whether the last search of this wait found no replacement. */
    boolean searchedInVain() {
        return !searchInterval.isZero();
    }

    /** Returns whether the chain has delivered an event after a point in time. */
    boolean deliveredAfter(long nanos) {
        return begun && sinceNanos > nanos;
    }

    /** Returns whether the chain has delivered an event. */
    boolean begun() {
        return begun;
    }

    /** Returns whether the liveness of the engines should be checked. */
    boolean checkDue(long nowNanos) {
        Duration minWait = begun ? settings.gapCheck() : settings.firstEventCheck();
        return pace.overdue(nowNanos - sinceNanos, minWait, CHECK_GAPS);
    }

    /** Returns whether the first engine should be queried about the stall. */
    boolean queryDue(long nowNanos) {
        Duration minWait = begun ? settings.gapStall() : settings.firstEventStall();
        return pace.overdue(nowNanos - Math.max(sinceNanos, queriedNanos), minWait, QUERY_GAPS);
    }

    /**
     * Returns whether the first event is overdue, which shows that the first engine keeps the
     * request queued. An engine whose memory is full does so when it is the first of a chain; it
     * refuses requests only when it is a later one.
     */
    boolean firstOverdue(long nowNanos) {
        return !begun && nowNanos - sinceNanos >= settings.firstEventStall().toNanos();
    }

    /** Returns whether to search for another chain now, since the caller will soon give up. */
    boolean switchDue(long nowNanos) {
        boolean due = nowNanos - sinceNanos >= FIRST_EVENT_LIMIT.toNanos();
        if (begun || !due || nowNanos < nextSwitchNanos) {
            return false;
        }
        nextSwitchNanos = nowNanos + SWITCH_INTERVAL.toNanos();
        return true;
    }
}
