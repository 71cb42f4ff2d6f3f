package hyssopturn.metric;

import hyssopturn.model.ClassName;
import hyssopturn.model.Target;

import io.micrometer.core.instrument.MeterRegistry;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Counts, for each class, the ended requests and those of them that met their target. */
public final class Attainment {
    private static final int GAPS_PER_LATE_GAP = 20;

    private final MeterRegistry meters;
    private final Map<ClassName, Count> counts = new TreeMap<>();

    /**
     * Creates empty counts.
     *
     * @param meters registry for the counters
     */
    public Attainment(MeterRegistry meters) {
        this.meters = meters;
    }

    /**
     * Count of a class.
     *
     * @param met requests that met their target
     * @param total requests that ended
     */
    public record Count(long met, long total) {}

    /**
     * Timing of one complete answer.
     *
     * @param first time from arrival to the first part
     * @param gaps number of gaps between tokens
     * @param lateGaps number of gaps longer than the target allows
     */
    public record Timing(Duration first, int gaps, int lateGaps) {
        /**
         * Returns whether the timing meets a target: the first part is in time and at most one gap
         * in twenty is late.
         *
         * @param target the target
         * @return true if the target is met
         */
        public boolean meets(Target target) {
            return first.compareTo(target.first()) <= 0
                    && (long) lateGaps * GAPS_PER_LATE_GAP <= gaps;
        }
    }

    /**
     * Counts one request that ended.
     *
     * @param name class of the request
     * @param met true if the request met its target
     */
    public void count(ClassName name, boolean met) {
        synchronized (this) {
            Count before = counts.getOrDefault(name, new Count(0, 0));
            counts.put(name, new Count(before.met() + (met ? 1 : 0), before.total() + 1));
        }
        meters.counter("hyssopturn.target", "class", name.value(), "met", Boolean.toString(met))
                .increment();
    }

    /**
     * Returns the counts.
     *
     * @return copy of the counts by class
     */
    public synchronized Map<ClassName, Count> counts() {
        return new TreeMap<>(counts);
    }
}
