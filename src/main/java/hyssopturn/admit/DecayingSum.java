package hyssopturn.admit;

/** Exponentially decaying sum: each amount loses half its weight per half-life. */
final class DecayingSum {
    private final double halfLifeNanos;
    private double value;
    private long updatedNanos;

    DecayingSum(long halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    void add(double amount, long nowNanos) {
        value = value(nowNanos) + amount;
        updatedNanos = Math.max(updatedNanos, nowNanos);
    }

    long ageNanos(long nowNanos) {
        return nowNanos - updatedNanos;
    }

    double value(long nowNanos) {
        long age = nowNanos - updatedNanos;
        return value == 0 || age <= 0
                ? value
                : value * Math.exp(-Math.log(2) * age / halfLifeNanos);
    }
}
