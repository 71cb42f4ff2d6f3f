package hyssopturn.relay;

import hyssopturn.trace.TraceEvent;

import java.time.Duration;
import java.util.Optional;

/**
 * Continues a stream that began and lost its chain. If the retry budget is used up or there is no
 * chain, the stream waits until its timeout: the budget comes back, and so do engines. Nothing is
 * sent meanwhile. Its caller ends it sooner by leaving.
 */
final class Resumption implements RetryQueue.Member {
    static final String BUDGET_USED_UP = "retry budget used up";

    /** Number of refusals without an event between them that are followed by a retry at once. */
    private static final int IMMEDIATE_RETRIES = 4;

    /** Longest pause between retries after refusals. */
    private static final Duration MAX_PAUSE = Duration.ofMillis(1_600);

    private final RelayContext context;
    private final StreamCall call;
    private final RetryQueue queue;
    private boolean counted;
    private int refusals;
    private Optional<String> obstacle = Optional.empty();
    private long sinceNanos;

    Resumption(RelayContext context, StreamCall call, RetryQueue queue) {
        this.context = context;
        this.call = call;
        this.queue = queue;
    }

    /** Records that the retry budget was used for the attempt that comes next. */
    void markCounted() {
        counted = true;
    }

    /** Records that an attempt is being sent, so that another one needs the budget again. */
    void markSent() {
        counted = false;
    }

    /** Records that an engine refused the stream. */
    void markRefused() {
        refusals++;
    }

    /** Records that the caller was sent events. */
    void markDelivered() {
        refusals = 0;
    }

    /** Starts the next attempt, or waits for it until the timeout. */
    void start() {
        long now = context.clock().nanos();
        Duration pause = pause(refusals);
        obstacle = pause.isZero() ? startNow() : Optional.of("engines refuse");
        if (obstacle.isEmpty()) {
            return;
        }
        long untilNanos = call.timeoutNanos();
        // a unit of the budget that was paid long before it is used would be counted too early
        counted = false;
        sinceNanos = now;
        long searchNanos = now + max(pause, RetryQueue.SEARCH_INTERVAL).toNanos();
        queue.add(this, call.callerLeavesNanos(), untilNanos, searchNanos);
        context.trace()
                .record(
                        new TraceEvent.RetryDeferred(
                                call.id(),
                                obstacle.get(),
                                Duration.ofNanos(untilNanos - now).toMillis()));
    }

    /** Returns how long to wait after a number of refusals in a row. */
    static Duration pause(int refusals) {
        if (refusals <= IMMEDIATE_RETRIES) {
            return Duration.ZERO;
        }
        int doublings = Math.min(refusals - IMMEDIATE_RETRIES, Integer.SIZE / 2);
        Duration pause = RetryQueue.SEARCH_INTERVAL.multipliedBy(1L << doublings);
        return pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Starts the next attempt; returns what stands in its way, empty if nothing does. */
    private Optional<String> startNow() {
        if (!affordable()) {
            return Optional.of(BUDGET_USED_UP);
        }
        boolean paid = counted;
        counted = true;
        Optional<String> missing = call.tryStart();
        if (missing.isPresent()) {
            counted = paid;
        } else if (!paid) {
            call.countRetry(RetryBudget.AnswerState.STARTED);
        }
        return missing;
    }

    @Override
    public boolean begun() {
        return true;
    }

    @Override
    public boolean affordable() {
        return counted
                || context.retryBudget()
                        .allows(
                                call.service(),
                                RetryBudget.AnswerState.STARTED,
                                context.clock().nanos());
    }

    @Override
    public boolean tryStart() {
        call.guarded(this::startAfterWait);
        return call.ended() || obstacle.isEmpty();
    }

    private void startAfterWait() {
        if (call.endIfQuarantined()) {
            return;
        }
        obstacle = startNow();
        if (obstacle.isEmpty()) {
            traceEnd("went on");
        }
    }

    @Override
    public void endWait() {
        traceEnd(affordable() ? obstacle.orElse("") : BUDGET_USED_UP);
        call.expired();
    }

    /** Ends the wait of a stream that ended. */
    void release() {
        queue.remove(this);
    }

    private void traceEnd(String outcome) {
        long waited = context.clock().nanos() - sinceNanos;
        context.trace()
                .record(
                        new TraceEvent.DeferralEnded(
                                call.id(), outcome, Duration.ofNanos(waited).toMillis()));
    }
}
