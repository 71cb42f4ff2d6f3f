package hyssopturn.admit;

/** Sum whose parts lose half their weight in a fixed time. */
final class Decayed {
    private final double halfLifeNanos;
    private double value;
    private long atNanos;

    Decayed(long halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    void add(double amount, long nowNanos) {
        value = value(nowNanos) + amount;
        atNanos = Math.max(atNanos, nowNanos);
    }

    long ageNanos(long nowNanos) {
        return nowNanos - atNanos;
    }

    double value(long nowNanos) {
        long age = nowNanos - atNanos;
        return value == 0 || age <= 0
                ? value
                : value * Math.exp(-Math.log(2) * age / halfLifeNanos);
    }
}
