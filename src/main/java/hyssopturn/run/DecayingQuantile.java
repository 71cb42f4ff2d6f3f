package hyssopturn.run;

import hyssopturn.helper.Check;

/** Quantiles of recent positive values, in buckets that each are some percent wide. */
final class DecayingQuantile {
    private static final double GROWTH = 1.15;
    private static final double LOG_GROWTH = Math.log(GROWTH);
    private static final double LEAST = 1.0 / 64;
    private static final int BUCKETS = 100;

    /** Number of samples after which a sample's weight is halved. */
    private static final double HALF_LIFE_SAMPLES = 512;

    /** Weight at which all weights are scaled down to keep them finite. */
    private static final double RESCALE_AT = 1e12;

    private static final double STEP = Math.pow(2, 1 / HALF_LIFE_SAMPLES);

    private final double[] weights = new double[BUCKETS];
    private double total;
    private double next = 1;
    private long samples;

    DecayingQuantile() {}

    void add(double value) {
        double buckets = Math.log(Math.max(LEAST, value) / LEAST) / LOG_GROWTH;
        weights[(int) Math.min(BUCKETS - 1, buckets)] += next;
        total += next;
        samples++;
        next *= STEP;
        if (next > RESCALE_AT) {
            rescale();
        }
    }

    private void rescale() {
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] /= next;
        }
        total /= next;
        next = 1;
    }

    long samples() {
        return samples;
    }

    /** Returns the upper end of the bucket in which a share of the recent values is reached. */
    double at(double share) {
        Check.that(samples > 0, "a quantile needs a sample");
        double rest = share * total;
        int bucket = 0;
        while (bucket < BUCKETS - 1 && rest > weights[bucket]) {
            rest -= weights[bucket];
            bucket++;
        }
        return LEAST * Math.pow(GROWTH, bucket + 1);
    }
}
