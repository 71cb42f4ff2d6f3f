package hyssopturn.limit;

import hyssopturn.port.Clock;

import java.time.Duration;

/** Clock whose wall time differs from another one's. */
final class OffsetClock implements Clock {
    private final Clock clock;
    private long offsetMillis;

    OffsetClock(Clock clock) {
        this.clock = clock;
    }

    /** Moves the wall time. */
    void step(long millis) {
        offsetMillis += millis;
    }

    @Override
    public long nanos() {
        return clock.nanos();
    }

    @Override
    public long wallMillis() {
        return clock.wallMillis() + offsetMillis;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        return clock.after(delay, task);
    }
}
