package hyssopturn.tunnel;

import hyssopturn.port.Clock;

import io.vertx.core.Vertx;

import java.time.Duration;

/** Clock of the machine whose tasks run on an event loop. */
record LoopClock(Vertx vertx) implements Clock {
    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        long id = vertx.setTimer(Math.max(1, delay.toMillis()), timer -> task.run());
        return () -> vertx.cancelTimer(id);
    }
}
