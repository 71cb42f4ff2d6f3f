package hyssopturn.relay;

import hyssopturn.load.OwnLoad;

/** Counts one stream in the load that other nodes are told: asked for, started, first event. */
final class StreamCounting {
    private final OwnLoad.StreamCounts counts;
    private final long targetNanos;
    private State state = State.NEW;

    private enum State {
        NEW,
        HELD,
        STARTED,
        DELIVERED,
        ENDED
    }

    /** Creates the count of a stream that does not compete for capacity yet. */
    StreamCounting(OwnLoad load, Admitted admitted) {
        counts = load.streams(admitted.service(), admitted.priority());
        targetNanos = admitted.arrivedNanos() + admitted.route().target().toNanos();
    }

    /** Records that the stream asks for capacity, from now on and until it is started. */
    void asked() {
        if (state == State.NEW) {
            state = State.HELD;
            counts.asked();
        }
    }

    /** Records that an attempt of the stream is started. */
    void started() {
        asked();
        if (state == State.HELD) {
            state = State.STARTED;
            counts.started();
        }
    }

    /** Records that the client gets an event. */
    void delivered(long nowNanos) {
        if (state == State.STARTED) {
            state = State.DELIVERED;
            counts.firstEvent(nowNanos > targetNanos);
        }
    }

    /**
     * Records that the stream ended, once; one that never had an event after its target is late.
     */
    void ended(long nowNanos) {
        if (state == State.HELD) {
            counts.notStarted();
        }
        if (state == State.STARTED && nowNanos > targetNanos) {
            counts.firstEvent(true);
        }
        state = State.ENDED;
    }
}
