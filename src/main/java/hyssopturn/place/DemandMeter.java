package hyssopturn.place;

import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Counts requests by model, with exponential decay. */
public final class DemandMeter {
    private static final Duration HALF_LIFE = Duration.ofMinutes(5);
    private static final double MIN_SHARE = 0.1;

    private final Clock clock;
    private final Map<String, DecayingCount> counts = new HashMap<>();

    private record DecayingCount(double count, long atNanos) {
        double decayedTo(long nanos) {
            double halves = (double) (nanos - atNanos) / HALF_LIFE.toNanos();
            return count * Math.pow(2, -halves);
        }
    }

    /**
     * Creates a meter without counts.
     *
     * @param clock source of time
     */
    public DemandMeter(Clock clock) {
        this.clock = clock;
    }

    /**
     * Counts a request.
     *
     * @param model name of the model that the request needs
     */
    public synchronized void count(String model) {
        long now = clock.nanos();
        DecayingCount before = counts.getOrDefault(model, new DecayingCount(0, now));
        counts.put(model, new DecayingCount(before.decayedTo(now) + 1, now));
    }

    /** Returns a model's share of recent requests, always above 0 so that it keeps holders. */
    synchronized double share(String model) {
        long now = clock.nanos();
        double all = counts.values().stream().mapToDouble(d -> d.decayedTo(now)).sum();
        if (all < 1) {
            return 1;
        }
        double own = counts.containsKey(model) ? counts.get(model).decayedTo(now) : 0;
        return Math.max(MIN_SHARE, own / all);
    }
}
