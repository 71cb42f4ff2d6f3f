package hyssopturn.event;

import hyssopturn.port.Clock;

/** Hybrid logical clock: close to wall time, and never behind what it has seen. */
public final class HybridClock {
    private final Clock clock;
    private Stamp last = new Stamp(0, 0);

    /**
     * Creates the clock.
     *
     * @param clock wall time
     */
    public HybridClock(Clock clock) {
        this.clock = clock;
    }

    /**
     * Takes a stamp above all earlier ones.
     *
     * @return the stamp
     */
    public synchronized Stamp next() {
        long wall = clock.wallMillis();
        last =
                wall > last.millis()
                        ? new Stamp(wall, 0)
                        : new Stamp(last.millis(), last.counter() + 1);
        return last;
    }

    /**
     * Moves past a stamp of another node.
     *
     * @param seen the stamp that came with a message
     */
    public synchronized void observe(Stamp seen) {
        if (seen.compareTo(last) > 0) {
            last = seen;
        }
    }
}
