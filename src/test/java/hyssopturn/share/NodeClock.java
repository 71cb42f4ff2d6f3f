package hyssopturn.share;

import hyssopturn.port.Clock;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Clock of a node that can be paused as a whole; what falls due meanwhile runs afterwards. */
final class NodeClock implements Clock {
    private final VirtualClock clock;
    private final List<Runnable> held = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    NodeClock(VirtualClock clock) {
        this.clock = clock;
    }

    void pause() {
        paused = true;
    }

    void goOn() {
        paused = false;
        List<Runnable> due = List.copyOf(held);
        held.clear();
        due.forEach(Runnable::run);
    }

    void kill() {
        dead = true;
    }

    boolean running() {
        return !paused && !dead;
    }

    /** Runs a task on the node's thread. */
    void deliver(Runnable task) {
        if (paused) {
            held.add(task);
        } else if (!dead) {
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
        boolean[] cancelled = {false};
        Timer timer =
                clock.after(
                        delay,
                        () ->
                                deliver(
                                        () -> {
                                            if (!cancelled[0]) {
                                                task.run();
                                            }
                                        }));
        return () -> {
            cancelled[0] = true;
            timer.cancel();
        };
    }
}
