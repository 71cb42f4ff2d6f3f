package hyssopturn.limit;

import java.time.Duration;
import java.util.List;

/**
 * A request that reached an endpoint.
 *
 * @param nanos time
 * @param told whether its node had been told of the limit
 */
record Arrival(long nanos, boolean told) {
    static final long WINDOW_NANOS = Duration.ofSeconds(4).toNanos();

    /** Time after the first naming of a limit in which nodes learn of it. */
    private static final long LEARNING_NANOS = Duration.ofSeconds(3).toNanos();

    /** Returns the most arrivals in any window. */
    static int most(List<Arrival> all) {
        long from = LEARNING_NANOS + all.stream().mapToLong(Arrival::nanos).findFirst().orElse(0);
        List<Arrival> counted = all.stream().filter(a -> a.nanos() >= from).toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < counted.size(); i++) {
            while (counted.get(i).nanos() - counted.get(first).nanos() >= WINDOW_NANOS) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }
}
