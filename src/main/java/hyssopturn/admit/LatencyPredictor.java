package hyssopturn.admit;

/**
 * Predicts the time from the start of a request to the first part of its answer, for one class,
 * from the length of the prompt.
 *
 * <p>A linear regression over recent samples predicts the expected time. The upper bound multiplies
 * it by the 95th percentile of actual over predicted time, so that a poor fit or a drift widens the
 * margin.
 */
final class LatencyPredictor {
    private static final double DECAY = 0.99;
    private static final double UPPER_BOUND_SHARE = 0.95;
    private static final double MAX_MARGIN = 3;
    private static final double MIN_VARIANCE = 1;

    private final Quantile margin = new Quantile(UPPER_BOUND_SHARE, 1.2, 1, MAX_MARGIN);
    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    /** Adds a sample. */
    void add(int promptTokens, double nanos) {
        double predicted = expectedNanos(promptTokens);
        if (predicted > 0) {
            margin.add(nanos / predicted);
        }
        weight = weight * DECAY + 1;
        sumX = sumX * DECAY + promptTokens;
        sumY = sumY * DECAY + nanos;
        sumXx = sumXx * DECAY + (double) promptTokens * promptTokens;
        sumXy = sumXy * DECAY + promptTokens * nanos;
    }

    /** Predicts the expected time in nanoseconds, 0 while there is no sample. */
    double expectedNanos(int promptTokens) {
        if (weight == 0) {
            return 0;
        }
        double meanX = sumX / weight;
        double meanY = sumY / weight;
        double variance = sumXx / weight - meanX * meanX;
        double slope = variance < MIN_VARIANCE ? 0 : (sumXy / weight - meanX * meanY) / variance;
        return Math.max(0, meanY + Math.max(0, slope) * (promptTokens - meanX));
    }

    /** Predicts the 95th percentile of the time in nanoseconds, 0 while there is no sample. */
    double upperBoundNanos(int promptTokens) {
        return expectedNanos(promptTokens) * margin.value();
    }

    double margin() {
        return margin.value();
    }
}
