package hyssopturn.node;

import hyssopturn.port.Clock;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

import java.time.Duration;

/** Clock whose tasks run on one event loop. */
final class LoopClock implements Clock {
    private static final long MILLI_NANOS = 1_000_000;

    private final Vertx vertx;
    private final Context loop;
    private final long startNanos = System.nanoTime();

    LoopClock(Vertx vertx, Context loop) {
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
        long millis = (delay.toNanos() + MILLI_NANOS - 1) / MILLI_NANOS;
        if (millis <= 0) {
            loop.runOnContext(v -> task.run());
            return () -> {};
        }
        long timer = vertx.setTimer(millis, id -> task.run());
        return () -> vertx.cancelTimer(timer);
    }
}
