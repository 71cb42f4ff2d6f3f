package hyssopturn.admit;

/**
 * Learns how long work of one class takes until the caller sees something, from the length of its
 * prompt.
 *
 * <p>A line through recent samples gives the middle; the 95th percentile of actual over predicted
 * time widens it, so that a wrong line or a drift shows as a wider margin.
 */
final class Predictor {
    private static final double KEEP = 0.99;
    private static final double HIGH_SHARE = 0.95;
    private static final double MAX_MARGIN = 3;
    private static final double MIN_SPREAD = 1;

    private final Quantile margin = new Quantile(HIGH_SHARE, 1.2, 1, MAX_MARGIN);
    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    /** Takes in a sample. */
    void add(int promptTokens, double nanos) {
        double predicted = middle(promptTokens);
        if (predicted > 0) {
            margin.add(nanos / predicted);
        }
        weight = weight * KEEP + 1;
        sumX = sumX * KEEP + promptTokens;
        sumY = sumY * KEEP + nanos;
        sumXx = sumXx * KEEP + (double) promptTokens * promptTokens;
        sumXy = sumXy * KEEP + promptTokens * nanos;
    }

    /** Predicts the time, 0 while nothing is known. */
    double middle(int promptTokens) {
        if (weight == 0) {
            return 0;
        }
        double meanX = sumX / weight;
        double meanY = sumY / weight;
        double spread = sumXx / weight - meanX * meanX;
        double slope = spread < MIN_SPREAD ? 0 : (sumXy / weight - meanX * meanY) / spread;
        return Math.max(0, meanY + Math.max(0, slope) * (promptTokens - meanX));
    }

    /** Predicts the time that 95 in 100 stay under, 0 while nothing is known. */
    double high(int promptTokens) {
        return middle(promptTokens) * margin.value();
    }

    double margin() {
        return margin.value();
    }
}
