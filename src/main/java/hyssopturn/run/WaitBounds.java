package hyssopturn.run;

import hyssopturn.model.InstanceId;
import hyssopturn.model.Target;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds how long a step is waited for, from how long such steps took of late.
 *
 * <p>Waits are kept as multiples of their prediction, apart for prompts and single tokens.
 */
public final class WaitBounds {
    private static final double SHARE = 0.99;
    private static final double FACTOR = 3;

    /** Least bound as a multiple of the high quantile, whatever the target says. */
    private static final double LEAST_FACTOR = 1.5;

    private static final int FEW_SAMPLES = 16;
    private static final Duration FLOOR = Duration.ofMillis(10);

    /** Greatest bound of a token as a multiple of the target between tokens. */
    private static final double CEILING_TOKENS = 2;

    /** Greatest bound of a prompt as a multiple of the target of the first token. */
    private static final double CEILING_FIRST = 2;

    private final Map<Kind, DecayingQuantile> waits = new ConcurrentHashMap<>();

    /** Creates bounds that saw no wait. */
    public WaitBounds() {}

    private record Kind(InstanceId engine, boolean prompt) {}

    /**
     * Learns how long a step took.
     *
     * @param engine the engine
     * @param tokens number of tokens of the step
     * @param nanos time from send to answer, in nanoseconds
     * @param predicted predicted time, in nanoseconds
     */
    void observed(InstanceId engine, int tokens, long nanos, double predicted) {
        DecayingQuantile wait =
                waits.computeIfAbsent(new Kind(engine, tokens > 1), kind -> new DecayingQuantile());
        synchronized (wait) {
            wait.add(nanos / predicted);
        }
    }

    /**
     * Bounds the wait for a step.
     *
     * @param engine the engine
     * @param tokens number of tokens of the step
     * @param predicted predicted time, in nanoseconds
     * @param target target of the class
     * @return time after which the connection is suspect
     */
    Duration bound(InstanceId engine, int tokens, double predicted, Target target) {
        double ceiling = ceiling(tokens, target);
        DecayingQuantile wait = waits.get(new Kind(engine, tokens > 1));
        if (wait == null) {
            return Duration.ofNanos((long) Math.max(ceiling, predicted * FACTOR));
        }
        double high;
        synchronized (wait) {
            if (wait.samples() < FEW_SAMPLES) {
                return Duration.ofNanos((long) Math.max(ceiling, predicted * FACTOR));
            }
            high = wait.at(SHARE) * predicted;
        }
        double bound = Math.min(Math.max((double) FLOOR.toNanos(), high * FACTOR), ceiling);
        return Duration.ofNanos((long) Math.max(bound, high * LEAST_FACTOR));
    }

    private static double ceiling(int tokens, Target target) {
        double first = CEILING_FIRST * target.first().toNanos();
        return switch (target) {
            case Target.Stream(Duration f, Duration between) ->
                    tokens > 1 ? first : CEILING_TOKENS * between.toNanos();
            case Target.Answer answer -> first;
        };
    }
}
