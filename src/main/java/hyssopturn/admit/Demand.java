package hyssopturn.admit;

/** Histogram of waiting requests by latest start time, to check whether all can start in time. */
final class Demand {
    private static final int BUCKETS = 128;
    private static final long BUCKET_NANOS = 100_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int[] counts = new int[BUCKETS];

    void add(long latestStartNanos) {
        counts[bucket(latestStartNanos)]++;
    }

    void remove(long latestStartNanos) {
        counts[bucket(latestStartNanos)]--;
    }

    private static int bucket(long latestStartNanos) {
        return Math.floorMod(Math.floorDiv(latestStartNanos, BUCKET_NANOS), BUCKETS);
    }

    /** Returns whether by some time more requests must start than slots will have come free. */
    boolean exceeds(WaitQueue.Supply supply) {
        if (Double.isInfinite(supply.slotsPerSecond())) {
            return false;
        }
        double perBucket = supply.slotsPerSecond() * BUCKET_NANOS / NANOS_PER_SECOND;
        int start = bucket(supply.nowNanos());
        int needed = 0;
        for (int i = 0; i < BUCKETS; i++) {
            needed += counts[(start + i) % BUCKETS];
            if (needed > supply.freeSlots() + perBucket * (i + 1)) {
                return true;
            }
        }
        return false;
    }
}
