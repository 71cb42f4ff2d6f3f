package hyssopturn.relay;

import hyssopturn.trace.TraceEvent;

import java.time.Duration;

/**
 * Holds a stream without an answer while the only chains with room lead through engines that may
 * only be silent. The wait is over once there is a chain, once those engines have been silent for
 * too long, or when an answer would come too late for its caller. Nothing is sent meanwhile.
 */
final class SilenceWait implements RetryQueue.Member {
    private static final String OBSTACLE = "engines silent";

    private final RelayContext context;
    private final StreamCall call;
    private final RetryQueue queue;
    private long sinceNanos;

    SilenceWait(RelayContext context, StreamCall call, RetryQueue queue) {
        this.context = context;
        this.call = call;
        this.queue = queue;
    }

    /** Begins to wait if that can help; returns false if it cannot. */
    boolean start() {
        long now = context.clock().nanos();
        long untilNanos = call.firstStartBeforeNanos();
        if (now >= untilNanos || !call.blockedBySilence()) {
            return false;
        }
        sinceNanos = now;
        queue.add(this, untilNanos, untilNanos, now + RetryQueue.SEARCH_INTERVAL.toNanos());
        context.trace()
                .record(
                        new TraceEvent.RetryDeferred(
                                call.id(),
                                OBSTACLE,
                                Duration.ofNanos(untilNanos - now).toMillis()));
        return true;
    }

    @Override
    public boolean begun() {
        return false;
    }

    @Override
    public boolean affordable() {
        return true;
    }

    @Override
    public boolean tryStart() {
        boolean[] over = {true};
        call.guarded(() -> over[0] = startOrEnd());
        return over[0] || call.ended();
    }

    private boolean startOrEnd() {
        if (call.endIfQuarantined()) {
            return true;
        }
        if (call.tryStartWithCapacity().isEmpty()) {
            traceEnd("went on");
            return true;
        }
        if (call.blockedBySilence()) {
            return false;
        }
        endWait();
        return true;
    }

    @Override
    public void endWait() {
        traceEnd(OBSTACLE);
        call.guarded(call::startOrGiveUp);
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
