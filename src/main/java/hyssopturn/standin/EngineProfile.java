package hyssopturn.standin;

import java.time.Duration;

/**
 * How fast a stand-in engine is.
 *
 * @param accelerator kind of its accelerators
 * @param base time of a batch of one token through one layer range
 * @param perToken time that each token of the batch adds; a token of a prompt adds a tenth, as all
 *     of a prompt run in parallel
 * @param maxBatchTokens greatest number of tokens in a batch
 * @param kvTokens number of tokens that its cache holds
 * @param prefixes number of prompt prefixes that its cache holds
 * @param reportLag how late its load reports are
 * @param loadPerLayer time to load one layer
 */
public record EngineProfile(
        String accelerator,
        Duration base,
        Duration perToken,
        int maxBatchTokens,
        long kvTokens,
        int prefixes,
        Duration reportLag,
        Duration loadPerLayer) {

    /**
     * Returns a small quick engine for trying things out.
     *
     * @return the profile
     */
    public static EngineProfile quick() {
        return new EngineProfile(
                "a10",
                Duration.ofMillis(2),
                Duration.ofNanos(20_000),
                2_048,
                400_000,
                64,
                Duration.ofMillis(200),
                Duration.ofMillis(20));
    }

    /**
     * Returns an engine some times slower.
     *
     * @param factor how many times slower
     * @return the profile
     */
    public EngineProfile slower(double factor) {
        return new EngineProfile(
                accelerator,
                scaled(base, factor),
                scaled(perToken, factor),
                maxBatchTokens,
                kvTokens,
                prefixes,
                reportLag,
                loadPerLayer);
    }

    private static Duration scaled(Duration span, double factor) {
        return Duration.ofNanos(Math.round(span.toNanos() * factor));
    }
}
