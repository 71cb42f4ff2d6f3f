package hyssopturn.node;

import hyssopturn.port.Clock;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

import java.time.Duration;

/** System clock whose timers run on one event loop. */
final class EventLoopClock implements Clock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Vertx vertx;
    private final Context loop;
    private final long startNanos = System.nanoTime();

    EventLoopClock(Vertx vertx, Context loop) {
        this.vertx = vertx;
        this.loop = loop;
    }

    @Override
    public long nanos() {
        return System.nanoTime() - startNanos;
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        long millis = (delay.toNanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
        if (millis <= 0) {
            loop.runOnContext(v -> task.run());
            return () -> {};
        }
        long timer = vertx.setTimer(millis, id -> task.run());
        return () -> vertx.cancelTimer(timer);
    }
}
