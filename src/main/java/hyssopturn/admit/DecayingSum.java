package hyssopturn.admit;

/** Exponentially decaying sum: each amount loses half its weight per half-life. */
public final class DecayingSum {
    private final double halfLifeNanos;
    private double value;
    private long updatedNanos;

    /**
     * Creates a sum of zero.
     *
     * @param halfLifeNanos time in which an amount loses half its weight, in nanoseconds
     */
    public DecayingSum(long halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    /**
     * Adds an amount.
     *
     * @param amount the amount
     * @param nowNanos time now
     */
    public void add(double amount, long nowNanos) {
        value = value(nowNanos) + amount;
        updatedNanos = Math.max(updatedNanos, nowNanos);
    }

    long ageNanos(long nowNanos) {
        return nowNanos - updatedNanos;
    }

    /**
     * Returns the sum of the decayed amounts.
     *
     * @param nowNanos time now
     * @return the sum
     */
    public double value(long nowNanos) {
        long age = nowNanos - updatedNanos;
        return value == 0 || age <= 0
                ? value
                : value * Math.exp(-Math.log(2) * age / halfLifeNanos);
    }
}
