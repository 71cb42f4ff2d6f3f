package hyssopturn.place;

import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Counts requests by model, the older the less. */
public final class DemandMeter {
    private static final Duration HALF_LIFE = Duration.ofMinutes(5);
    private static final double LEAST_SHARE = 0.1;

    private final Clock clock;
    private final Map<String, Decaying> counts = new HashMap<>();

    private record Decaying(double count, long atNanos) {
        double at(long nanos) {
            double halves = (double) (nanos - atNanos) / HALF_LIFE.toNanos();
            return count * Math.pow(2, -halves);
        }
    }

    /**
     * Creates a meter that has counted nothing.
     *
     * @param clock time
     */
    public DemandMeter(Clock clock) {
        this.clock = clock;
    }

    /**
     * Counts a request.
     *
     * @param model name of the model that it needs
     */
    public synchronized void count(String model) {
        long now = clock.nanos();
        Decaying before = counts.getOrDefault(model, new Decaying(0, now));
        counts.put(model, new Decaying(before.at(now) + 1, now));
    }

    /** Returns a model's share of recent requests, never quite 0, so that it keeps holders. */
    synchronized double share(String model) {
        long now = clock.nanos();
        double all = counts.values().stream().mapToDouble(d -> d.at(now)).sum();
        if (all < 1) {
            return 1;
        }
        double mine = counts.containsKey(model) ? counts.get(model).at(now) : 0;
        return Math.max(LEAST_SHARE, mine / all);
    }
}
