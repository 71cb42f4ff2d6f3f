package hyssopturn.catalog;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * How a service's engines behave.
 *
 * @param layers number of layers of the model
 * @param layerMb memory of one layer, in megabytes
 * @param tokenBytes memory of one token over all layers, in bytes
 * @param stepMillis base time of a token step on the reference engine, in milliseconds
 * @param perRequestMillis time that each request of a batch adds to a step, in milliseconds
 * @param contextMillis time that 1,000 tokens of context add to a step, in milliseconds
 * @param readTokensPerSecond prompt tokens that the reference engine reads in a second
 * @param activationBytes bytes that one engine sends to the next for a token
 * @param pipeMbps megabits a second that all transfers between two zones share
 * @param loadTime time that an engine needs to load all layers
 * @param usualPromptTokens mean number of tokens of a prompt
 * @param usualAnswerTokens mean number of tokens of an answer
 * @param kinds kinds of accelerators, by name
 */
public record EngineSpec(
        int layers,
        double layerMb,
        double tokenBytes,
        double stepMillis,
        double perRequestMillis,
        double contextMillis,
        double readTokensPerSecond,
        double activationBytes,
        double pipeMbps,
        Duration loadTime,
        double usualPromptTokens,
        double usualAnswerTokens,
        Map<String, EngineKind> kinds) {
    private static final double BYTES_PER_MB = 1_000_000;

    /** Copies the kinds. */
    public EngineSpec {
        kinds = Map.copyOf(kinds);
    }

    /**
     * Finds a kind of accelerator.
     *
     * @param name its name
     * @return the kind, empty if the configuration does not list it
     */
    public Optional<EngineKind> kind(String name) {
        return Optional.ofNullable(kinds.get(name));
    }

    /**
     * Counts the tokens that fit beside layers.
     *
     * @param kind the accelerator
     * @param held number of layers that it holds, at least 1
     * @return number of tokens, 0 or less if nothing fits
     */
    public double tokensBeside(EngineKind kind, int held) {
        double free = (kind.memoryMb() - held * layerMb) * BYTES_PER_MB;
        return free / (tokenBytes / layers * held);
    }

    /**
     * Counts the layers that fit beside a number of tokens.
     *
     * @param kind the accelerator
     * @param tokens tokens of requests that must fit as well
     * @return number of layers, 0 if none fits
     */
    public int layersBeside(EngineKind kind, double tokens) {
        int most = (int) Math.min(layers, kind.memoryMb() / layerMb);
        while (most > 0 && tokensBeside(kind, most) < tokens) {
            most--;
        }
        return most;
    }
}
