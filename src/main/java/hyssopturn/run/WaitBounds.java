package hyssopturn.run;

import hyssopturn.model.InstanceId;
import hyssopturn.model.Target;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds how long a step is waited for, from how long such steps took of late.
 *
 * <p>Waits are kept as multiples of their prediction, apart for prompts and single tokens.
 */
public final class WaitBounds {
    private static final double SHARE = 0.99;
    private static final int FEW_SAMPLES = 16;
    private static final Duration FLOOR = Duration.ofMillis(10);

    /** Bound as a multiple of the prediction while no waits are known. */
    private static final double BLIND_FACTOR = 3;

    private final Map<Kind, DecayingQuantile> waits = new ConcurrentHashMap<>();

    /** What is given up when the bound has passed. */
    enum Patience {
        /** The connection; a step sent once more costs little. */
        CONNECTION(1.5, 1, 1.2),
        /** The engine; to go on without it costs a replay. */
        ENGINE(3, 3, 1.5);

        private final double factor;
        private final double targets;
        private final double leastFactor;

        /**
         * Creates a patience.
         *
         * @param factor bound as a multiple of the high quantile
         * @param targets greatest bound as a multiple of the target
         * @param leastFactor least multiple of the high quantile, whatever the target says
         */
        Patience(double factor, double targets, double leastFactor) {
            this.factor = factor;
            this.targets = targets;
            this.leastFactor = leastFactor;
        }
    }

    /** Creates bounds that saw no wait. */
    public WaitBounds() {}

    /** Waits of one engine, or of all of them together. */
    private record Kind(Optional<InstanceId> engine, boolean prompt) {}

    /**
     * Learns how long a step took.
     *
     * @param engine the engine
     * @param tokens number of tokens of the step
     * @param nanos time from send to answer, in nanoseconds
     * @param predicted predicted time, in nanoseconds
     */
    void observed(InstanceId engine, int tokens, long nanos, double predicted) {
        add(new Kind(Optional.of(engine), tokens > 1), nanos / predicted);
        add(new Kind(Optional.empty(), tokens > 1), nanos / predicted);
    }

    /**
     * Learns that a step was given up, which took at least as long as it was waited for.
     *
     * @param engine the engine
     * @param tokens number of tokens of the step
     * @param nanos time that it was waited for, in nanoseconds
     * @param predicted predicted time, in nanoseconds
     */
    void gaveUp(InstanceId engine, int tokens, long nanos, double predicted) {
        add(new Kind(Optional.of(engine), tokens > 1), nanos / predicted);
    }

    private void add(Kind kind, double ratio) {
        DecayingQuantile wait = waits.computeIfAbsent(kind, k -> new DecayingQuantile());
        synchronized (wait) {
            wait.add(ratio);
        }
    }

    /**
     * Bounds the wait for a step.
     *
     * @param engine the engine
     * @param tokens number of tokens of the step
     * @param predicted predicted time, in nanoseconds
     * @param target target of the class
     * @param patience what is given up then
     * @return the bound
     */
    Duration bound(
            InstanceId engine, int tokens, double predicted, Target target, Patience patience) {
        double ceiling = patience.targets * binding(tokens, target);
        OptionalDouble ratio = ratio(engine, tokens > 1);
        if (ratio.isEmpty()) {
            return Duration.ofNanos((long) Math.max(ceiling, predicted * BLIND_FACTOR));
        }
        double high = ratio.getAsDouble() * predicted;
        double usual = Math.max((double) FLOOR.toNanos(), high * patience.factor);
        double bound = Math.max(Math.min(usual, ceiling), high * patience.leastFactor);
        return Duration.ofNanos((long) bound);
    }

    private OptionalDouble ratio(InstanceId engine, boolean prompt) {
        OptionalDouble own = high(new Kind(Optional.of(engine), prompt));
        return own.isPresent() ? own : high(new Kind(Optional.empty(), prompt));
    }

    private OptionalDouble high(Kind kind) {
        DecayingQuantile wait = waits.get(kind);
        if (wait == null) {
            return OptionalDouble.empty();
        }
        synchronized (wait) {
            return wait.samples() < FEW_SAMPLES
                    ? OptionalDouble.empty()
                    : OptionalDouble.of(wait.at(SHARE));
        }
    }

    private static double binding(int tokens, Target target) {
        return switch (target) {
            case Target.Stream(Duration first, Duration between) ->
                    tokens > 1 ? first.toNanos() : between.toNanos();
            case Target.Answer(Duration first) -> first.toNanos();
        };
    }
}
