package hyssopturn.chain;

import hyssopturn.catalog.EngineSpec;

import java.time.Duration;

/**
 * This node's part of the time of the pipes between zones; not thread-safe.
 *
 * <p>A prompt's activations hold a pipe for as long as some tens of messages between engines take,
 * one prompt after another. If every stream that loses an engine were led through another zone, all
 * of them would wait for the pipe until their callers leave. Each node therefore uses an even part
 * of the pipe's time, and what does not fit goes on elsewhere or is refused. Answers the moment at
 * which an engine fails that many streams pass, and zones that lack a layer.
 */
public final class PipeShare {
    /**
     * Unused time that is kept for later, so that a node may use its part of some seconds at once.
     */
    private static final Duration KEPT = Duration.ofSeconds(5);

    private static final double MILLIS = 1_000;
    private static final double MILLI_NANOS = 1_000_000;
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1_000_000;

    private double nodes;
    private double leftMillis;
    private long sinceNanos;

    /**
     * Creates a share of which nothing is used yet.
     *
     * @param nodes number of nodes, this one included
     */
    public PipeShare(double nodes) {
        nodes(nodes);
        leftMillis = mostMillis();
    }

    /**
     * Sets how many nodes share the pipes.
     *
     * @param count the number, this node included; at least 1
     */
    public void nodes(double count) {
        nodes = Math.max(1, count);
    }

    private double mostMillis() {
        return KEPT.toMillis() / nodes;
    }

    /**
     * Asks for the time that a chain's activations need.
     *
     * @param crossings how often they pass a pipe
     * @param promptTokens tokens whose activations pass at once
     * @param spec sizes and speeds
     * @param nowNanos time now
     * @return true if the chain may be used, and its time is taken
     */
    public boolean take(int crossings, long promptTokens, EngineSpec spec, long nowNanos) {
        if (crossings <= 0) {
            return true;
        }
        double passed = (nowNanos - sinceNanos) / MILLI_NANOS;
        leftMillis = Math.min(mostMillis(), leftMillis + passed / nodes);
        sinceNanos = nowNanos;
        if (leftMillis <= 0) {
            return false;
        }
        leftMillis -= crossings * transferMillis(promptTokens, spec);
        return true;
    }

    /**
     * Computes how long a prompt's activations hold a pipe.
     *
     * @param promptTokens tokens of the prompt
     * @param spec sizes and speeds
     * @return the time, in milliseconds
     */
    static double transferMillis(long promptTokens, EngineSpec spec) {
        double bits = promptTokens * spec.activationBytes() * BITS_PER_BYTE;
        return bits / (spec.pipeMbps() * BITS_PER_MEGABIT) * MILLIS;
    }
}
