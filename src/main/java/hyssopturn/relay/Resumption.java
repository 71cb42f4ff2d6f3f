package hyssopturn.relay;

import hyssopturn.trace.TraceEvent;

import java.time.Duration;
import java.util.Optional;

/**
 * Continues a stream that began and lost its chain. If the retry budget is used up or there is no
 * chain, the stream waits as long as its caller does: the budget comes back, and so do engines.
 * Nothing is sent meanwhile.
 */
final class Resumption implements RetryQueue.Member {
    static final String BUDGET_USED_UP = "retry budget used up";

    private final RelayContext context;
    private final StreamCall call;
    private final RetryQueue queue;
    private boolean counted;
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

    /** Starts the next attempt, or waits for it if it may still serve the caller. */
    void start() {
        long now = context.clock().nanos();
        obstacle = startNow();
        if (obstacle.isEmpty()) {
            return;
        }
        long untilNanos = call.startBeforeNanos();
        if (now >= untilNanos || (!affordable() && affordableNanos(now) >= untilNanos)) {
            call.abort(call.lastFailureOr(obstacle.get()));
            return;
        }
        sinceNanos = now;
        queue.add(this, untilNanos, now);
        context.trace()
                .record(
                        new TraceEvent.RetryDeferred(
                                call.id(),
                                obstacle.get(),
                                Duration.ofNanos(untilNanos - now).toMillis()));
    }

    private long affordableNanos(long now) {
        return context.retryBudget().nextAllowedNanos(call.service(), now);
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
        String last = affordable() ? obstacle.orElse("") : BUDGET_USED_UP;
        traceEnd(last);
        call.abort(call.lastFailureOr(last));
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
