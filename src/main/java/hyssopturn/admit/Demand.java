package hyssopturn.admit;

/** Counts waiting requests by latest start time, to see whether all can start in time. */
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

    /** Tells whether more must start by some time than slots come free by then. */
    boolean exceeds(WaitQueue.Supply supply) {
        if (Double.isInfinite(supply.perSecond())) {
            return false;
        }
        double perBucket = supply.perSecond() * BUCKET_NANOS / NANOS_PER_SECOND;
        int start = bucket(supply.nowNanos());
        int needed = 0;
        for (int i = 0; i < BUCKETS; i++) {
            needed += counts[(start + i) % BUCKETS];
            if (needed > supply.free() + perBucket * (i + 1)) {
                return true;
            }
        }
        return false;
    }
}
