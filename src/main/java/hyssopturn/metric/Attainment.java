package hyssopturn.metric;

import hyssopturn.model.ClassName;
import hyssopturn.model.Target;

import io.micrometer.core.instrument.MeterRegistry;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Counts, for each class, the requests that ended and those of them that met their target. */
public final class Attainment {
    private static final int GAPS_PER_LATE_GAP = 20;

    private final MeterRegistry meters;
    private final Map<ClassName, Count> counts = new TreeMap<>();

    /**
     * Creates counts of zero.
     *
     * @param meters where the counts show
     */
    public Attainment(MeterRegistry meters) {
        this.meters = meters;
    }

    /**
     * Count of a class.
     *
     * @param within requests that met their target
     * @param total requests that ended
     */
    public record Count(long within, long total) {}

    /**
     * Timing of one whole answer.
     *
     * @param first time from arrival to the first part
     * @param gaps number of gaps between tokens
     * @param lateGaps number of gaps above the target
     */
    public record Timing(Duration first, int gaps, int lateGaps) {
        /**
         * Tells whether the timing meets a target: the first part in time, and no more than one gap
         * in twenty late.
         *
         * @param target the target
         * @return true if it does
         */
        public boolean meets(Target target) {
            return first.compareTo(target.first()) <= 0
                    && (long) lateGaps * GAPS_PER_LATE_GAP <= gaps;
        }
    }

    /**
     * Counts one request that ended.
     *
     * @param name its class
     * @param met true if it met its target
     */
    public void count(ClassName name, boolean met) {
        synchronized (this) {
            Count before = counts.getOrDefault(name, new Count(0, 0));
            counts.put(name, new Count(before.within() + (met ? 1 : 0), before.total() + 1));
        }
        meters.counter("hyssopturn.target", "class", name.value(), "met", Boolean.toString(met))
                .increment();
    }

    /**
     * Returns the counts.
     *
     * @return a copy, by class
     */
    public synchronized Map<ClassName, Count> counts() {
        return new TreeMap<>(counts);
    }
}
