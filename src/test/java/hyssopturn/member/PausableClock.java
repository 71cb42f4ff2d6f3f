package hyssopturn.member;

import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Clock of one process, whose timers wait while the process is frozen. */
final class PausableClock implements Clock {
    private final Clock clock;
    private final List<Runnable> held = new ArrayList<>();
    private boolean frozen;
    private boolean dead;

    PausableClock(Clock clock) {
        this.clock = clock;
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        List<Runnable> due = List.copyOf(held);
        held.clear();
        due.forEach(Runnable::run);
    }

    void kill() {
        dead = true;
        held.clear();
    }

    boolean frozen() {
        return frozen;
    }

    /** Runs a task now, when the process thaws, or never if it is dead. */
    void run(Runnable task) {
        if (dead) {
            return;
        }
        if (frozen) {
            held.add(task);
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
