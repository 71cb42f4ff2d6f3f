package hyssopturn.member;

import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Clock of one simulated process, whose timers are deferred while the process is paused. */
final class PausableClock implements Clock {
    private final Clock clock;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    PausableClock(Clock clock) {
        this.clock = clock;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> due = List.copyOf(deferred);
        deferred.clear();
        due.forEach(Runnable::run);
    }

    void kill() {
        dead = true;
        deferred.clear();
    }

    boolean isPaused() {
        return paused;
    }

    /** Runs a task now, or on resume if the process is paused, or never if it was killed. */
    void run(Runnable task) {
        if (dead) {
            return;
        }
        if (paused) {
            deferred.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public long nanos() {
        return clock.nanos();
    }

    @Override
    public long wallMillis() {
        return clock.wallMillis();
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        return clock.after(delay, () -> run(task));
    }
}
