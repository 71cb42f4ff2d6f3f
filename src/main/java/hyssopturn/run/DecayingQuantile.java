package hyssopturn.run;

import hyssopturn.helper.Check;

/**
 * Estimates quantiles of recent positive values by a histogram with exponentially growing buckets.
 */
final class DecayingQuantile {
    private static final double BUCKET_GROWTH = 1.15;
    private static final double LOG_BUCKET_GROWTH = Math.log(BUCKET_GROWTH);
    private static final double MIN_VALUE = 1.0 / 64;
    private static final int BUCKETS = 100;

    /** Number of newer samples after which the relative weight of a sample has halved. */
    private static final double HALF_LIFE_SAMPLES = 512;

    /** Weight of a new sample above which all weights are scaled down to keep them finite. */
    private static final double MAX_SAMPLE_WEIGHT = 1e12;

    private static final double SAMPLE_WEIGHT_GROWTH = Math.pow(2, 1 / HALF_LIFE_SAMPLES);

    private final double[] weights = new double[BUCKETS];
    private double totalWeight;
    private double sampleWeight = 1;
    private long samples;

    DecayingQuantile() {}

    void add(double value) {
        double buckets = Math.log(Math.max(MIN_VALUE, value) / MIN_VALUE) / LOG_BUCKET_GROWTH;
        weights[(int) Math.min(BUCKETS - 1, buckets)] += sampleWeight;
        totalWeight += sampleWeight;
        samples++;
        sampleWeight *= SAMPLE_WEIGHT_GROWTH;
        if (sampleWeight > MAX_SAMPLE_WEIGHT) {
            rescale();
        }
    }

    private void rescale() {
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] /= sampleWeight;
        }
        totalWeight /= sampleWeight;
        sampleWeight = 1;
    }

    long samples() {
        return samples;
    }

    /** Returns the upper bound of the bucket that contains a quantile. */
    double quantile(double fraction) {
        Check.that(samples > 0, "a quantile requires at least one sample");
        double rest = fraction * totalWeight;
        int bucket = 0;
        while (bucket < BUCKETS - 1 && rest > weights[bucket]) {
            rest -= weights[bucket];
            bucket++;
        }
        return MIN_VALUE * Math.pow(BUCKET_GROWTH, bucket + 1);
    }
}
