package hyssopturn.bench;

import java.util.List;
import java.util.Map;

/**
 * Figures of one variant in one scenario.
 *
 * @param variant name of the variant
 * @param ofBound work finished within its target over the bound
 * @param share share of requests within their target
 * @param classes figures of each class by name
 * @param accounts share within target of each account by name
 * @param accountSpread greatest less least of these, in points
 * @param othersCost points that the flood took from the other accounts, 0 without a flood
 * @param endings number of requests by ending
 * @param recoverySeconds time from whole capacity until attainment was back, -1 if it never was
 * @param outageSeconds time from the fault until attainment was back, -1 if it never was
 * @param lowest least share within target in a second after the fault
 * @param seconds course over time
 */
record Result(
        String variant,
        double ofBound,
        double share,
        Map<String, ClassResult> classes,
        Map<String, Double> accounts,
        double accountSpread,
        double othersCost,
        Map<String, Long> endings,
        double recoverySeconds,
        double outageSeconds,
        double lowest,
        List<Second> seconds) {
    /**
     * Figures of one class.
     *
     * @param requests number of requests
     * @param share share within target
     * @param ofBound that share over the bound's
     * @param firstMillis time to the first part at the 50th, 95th and 99th percentile
     */
    record ClassResult(long requests, double share, double ofBound, List<Double> firstMillis) {}

    /**
     * Figures of the requests that arrived in one second.
     *
     * @param second the second, from the start of the run
     * @param arrived number of requests
     * @param share share within target
     * @param firstMillis 95th percentile of the time to the first part
     * @param waiting requests waiting at all nodes at its end
     * @param running requests running at all nodes at its end
     * @param limit sum of the limits at its end
     */
    record Second(
            int second,
            int arrived,
            double share,
            double firstMillis,
            int waiting,
            int running,
            int limit) {}
}
