package hyssopturn.admit;

/** Online estimate of a quantile of ratios, moved by small multiplicative steps. */
public final class Quantile {
    private static final double STEP = 0.05;

    private final double share;
    private final double low;
    private final double high;
    private double value;

    /**
     * Creates an estimate.
     *
     * @param share part of the samples that are at most the quantile, from 0 to 1
     * @param initial first value
     * @param low least value
     * @param high greatest value
     */
    public Quantile(double share, double initial, double low, double high) {
        this.share = share;
        this.low = low;
        this.high = high;
        value = initial;
    }

    /**
     * Adds a sample.
     *
     * @param sample the sample
     */
    public void add(double sample) {
        double factor = sample > value ? 1 + STEP * share : 1 - STEP * (1 - share);
        value = Math.clamp(value * factor, low, high);
    }

    /**
     * Returns the estimate.
     *
     * @return the quantile
     */
    public double value() {
        return value;
    }
}
