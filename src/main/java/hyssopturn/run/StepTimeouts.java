package hyssopturn.run;

import hyssopturn.model.InstanceId;
import hyssopturn.model.Target;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Timeouts of steps, derived from the durations of recent steps.
 *
 * <p>Durations are kept as multiples of their prediction, separately for prompts and for single
 * tokens.
 */
public final class StepTimeouts {
    private static final double HIGH_QUANTILE = 0.99;
    private static final int MIN_SAMPLES = 16;
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(10);

    /** Timeout as a multiple of the prediction while too few durations are known. */
    private static final double DEFAULT_FACTOR = 3;

    private final Map<StepKind, DecayingQuantile> durationRatios = new ConcurrentHashMap<>();

    /** What the run abandons when the timeout expires. */
    enum Scope {
        /** The connection; sending the step again over a new one is cheap. */
        CONNECTION(1.5, 1, 1.2),
        /** The engine; replacing it requires a replay. */
        ENGINE(3, 3, 1.5);

        private final double quantileFactor;
        private final double targetFactor;
        private final double minQuantileFactor;

        /**
         * Creates a scope.
         *
         * @param quantileFactor timeout as a multiple of the high quantile
         * @param targetFactor greatest timeout as a multiple of the class's target
         * @param minQuantileFactor least multiple of the high quantile, which overrides the
         *     greatest timeout
         */
        Scope(double quantileFactor, double targetFactor, double minQuantileFactor) {
            this.quantileFactor = quantileFactor;
            this.targetFactor = targetFactor;
            this.minQuantileFactor = minQuantileFactor;
        }
    }

    /** Creates timeouts without known durations. */
    public StepTimeouts() {}

    /** Steps of one engine, or of all engines if none is given. */
    private record StepKind(Optional<InstanceId> engine, boolean prompt) {}

    /**
     * Records the duration of an answered step.
     *
     * @param engine the engine
     * @param tokens number of tokens of the step
     * @param nanos time from send to answer, in nanoseconds
     * @param predicted predicted time, in nanoseconds
     */
    void recordDuration(InstanceId engine, int tokens, long nanos, double predicted) {
        add(new StepKind(Optional.of(engine), tokens > 1), nanos / predicted);
        add(new StepKind(Optional.empty(), tokens > 1), nanos / predicted);
    }

    /**
     * Records a step that timed out, whose duration is at least the time waited.
     *
     * @param engine the engine
     * @param tokens number of tokens of the step
     * @param nanos time from send to timeout, in nanoseconds
     * @param predicted predicted time, in nanoseconds
     */
    void recordTimeout(InstanceId engine, int tokens, long nanos, double predicted) {
        add(new StepKind(Optional.of(engine), tokens > 1), nanos / predicted);
    }

    private void add(StepKind kind, double ratio) {
        DecayingQuantile ratios = durationRatios.computeIfAbsent(kind, k -> new DecayingQuantile());
        synchronized (ratios) {
            ratios.add(ratio);
        }
    }

    /**
     * Returns the timeout of a step.
     *
     * @param engine the engine
     * @param tokens number of tokens of the step
     * @param predicted predicted time, in nanoseconds
     * @param target target of the class
     * @param scope what the run abandons when the timeout expires
     * @return the timeout
     */
    Duration timeout(InstanceId engine, int tokens, double predicted, Target target, Scope scope) {
        double limit = scope.targetFactor * targetNanos(tokens, target);
        OptionalDouble ratio = highRatio(engine, tokens > 1);
        if (ratio.isEmpty()) {
            return Duration.ofNanos((long) Math.max(limit, predicted * DEFAULT_FACTOR));
        }
        double high = ratio.getAsDouble() * predicted;
        double preferred = Math.max((double) MIN_TIMEOUT.toNanos(), high * scope.quantileFactor);
        double timeout = Math.max(Math.min(preferred, limit), high * scope.minQuantileFactor);
        return Duration.ofNanos((long) timeout);
    }

    private OptionalDouble highRatio(InstanceId engine, boolean prompt) {
        OptionalDouble ofEngine = highQuantile(new StepKind(Optional.of(engine), prompt));
        return ofEngine.isPresent()
                ? ofEngine
                : highQuantile(new StepKind(Optional.empty(), prompt));
    }

    private OptionalDouble highQuantile(StepKind kind) {
        DecayingQuantile ratios = durationRatios.get(kind);
        if (ratios == null) {
            return OptionalDouble.empty();
        }
        synchronized (ratios) {
            return ratios.samples() < MIN_SAMPLES
                    ? OptionalDouble.empty()
                    : OptionalDouble.of(ratios.quantile(HIGH_QUANTILE));
        }
    }

    private static double targetNanos(int tokens, Target target) {
        return switch (target) {
            case Target.Stream(Duration first, Duration between) ->
                    tokens > 1 ? first.toNanos() : between.toNanos();
            case Target.Answer(Duration first) -> first.toNanos();
        };
    }
}
