package hyssopturn.bench;

import org.HdrHistogram.Histogram;

/** Compares the time of a token through a node with the time of the engines alone. */
public final class PathLatency {
    private static final int STAGES = 3;
    private static final int TOKENS = 90;
    private static final int WARM_UPS = 20;
    private static final int ROUNDS = 20;
    private static final int MEDIAN = 50;
    private static final int TAIL = 99;
    private static final double NANOS_PER_MILLI = 1e6;

    private PathLatency() {}

    /**
     * Measures both in turn, in one run.
     *
     * @return a sentence with both medians
     */
    public static String measure() {
        Histogram through = new Histogram(3);
        Histogram direct = new Histogram(3);
        try (LoopbackPath path = new LoopbackPath(STAGES)) {
            for (int i = 0; i < WARM_UPS; i++) {
                path.through(TOKENS);
                path.direct(TOKENS);
            }
            for (int i = 0; i < ROUNDS; i++) {
                through.add(path.through(TOKENS));
                direct.add(path.direct(TOKENS));
            }
        }
        return ("A token through a node and %d stages takes %.3f ms at the median (99th percentile"
                        + " %.3f ms), through the engines alone %.3f ms (%.3f ms); the node adds"
                        + " %.3f ms at the median.")
                .formatted(
                        STAGES,
                        millis(through, MEDIAN),
                        millis(through, TAIL),
                        millis(direct, MEDIAN),
                        millis(direct, TAIL),
                        millis(through, MEDIAN) - millis(direct, MEDIAN));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
