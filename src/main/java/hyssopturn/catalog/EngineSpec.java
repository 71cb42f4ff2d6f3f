package hyssopturn.catalog;

import hyssopturn.model.LayerRange;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Sizes and speeds of a service's engines.
 *
 * @param layers number of layers of the model
 * @param layerMb memory of one layer, in megabytes
 * @param tokenBytes memory of one token over all layers, in bytes
 * @param stepMillis base time of a decode step on the reference engine, in milliseconds
 * @param perRequestMillis time that each request of a batch adds to a step, in milliseconds
 * @param contextMillis time that 1,000 tokens of context add to a step, in milliseconds
 * @param prefillTokensPerSecond prompt tokens that the reference engine prefills in a second
 * @param activationBytes bytes that an engine sends to the next one for a token
 * @param interZoneMbps bandwidth that all transfers between two zones share, in megabits per second
 * @param loadTime time that an engine needs for loading all layers
 * @param meanPromptTokens mean number of tokens of a prompt
 * @param meanAnswerTokens mean number of tokens of an answer
 * @param kinds kinds of accelerators, by name
 */
public record EngineSpec(
        int layers,
        double layerMb,
        double tokenBytes,
        double stepMillis,
        double perRequestMillis,
        double contextMillis,
        double prefillTokensPerSecond,
        double activationBytes,
        double interZoneMbps,
        Duration loadTime,
        double meanPromptTokens,
        double meanAnswerTokens,
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
     * Returns whether the model has all layers of a range.
     *
     * @param range the range
     * @return false if the range ends above the last layer
     */
    public boolean hasLayers(LayerRange range) {
        return range.to() <= layers;
    }

    /**
     * Returns the mean number of tokens that a request holds when its answer ends.
     *
     * @return number of tokens, at least 1
     */
    public double meanRequestTokens() {
        return Math.max(1, meanPromptTokens + meanAnswerTokens);
    }

    /**
     * Counts the tokens that fit into an accelerator's memory beside layers.
     *
     * @param kind the accelerator
     * @param held number of layers that it holds, at least 1
     * @return number of tokens, 0 or less if nothing fits
     */
    public double tokensThatFit(EngineKind kind, int held) {
        double free = (kind.memoryMb() - held * layerMb) * BYTES_PER_MB;
        return free / (tokenBytes / layers * held);
    }

    /**
     * Counts the layers that fit into an accelerator's memory beside a number of tokens.
     *
     * @param kind the accelerator
     * @param tokens tokens of requests that must fit as well
     * @return number of layers, 0 if none fits
     */
    public int layersThatFit(EngineKind kind, double tokens) {
        int most = (int) Math.min(layers, kind.memoryMb() / layerMb);
        while (most > 0 && tokensThatFit(kind, most) < tokens) {
            most--;
        }
        return most;
    }
}
