package hyssopturn.admit;

/** Online estimate of a quantile of ratios, moved by small multiplicative steps. */
final class Quantile {
    private static final double STEP = 0.05;

    private final double share;
    private final double low;
    private final double high;
    private double value;

    Quantile(double share, double initial, double low, double high) {
        this.share = share;
        this.low = low;
        this.high = high;
        value = initial;
    }

    void add(double sample) {
        double factor = sample > value ? 1 + STEP * share : 1 - STEP * (1 - share);
        value = Math.clamp(value * factor, low, high);
    }

    double value() {
        return value;
    }
}
