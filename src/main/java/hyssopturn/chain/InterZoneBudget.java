package hyssopturn.chain;

import hyssopturn.catalog.EngineSpec;

import java.time.Duration;

/**
 * Token bucket for this node's share of the transfer time of the links between zones; not
 * thread-safe.
 *
 * <p>A prompt's activations occupy a link for as long as some tens of messages between engines do,
 * one prompt after another. If every stream that loses an engine were rerouted through another
 * zone, all of them would wait for the link until their callers give up. Each node therefore uses
 * an equal share of the link's time; a request that does not fit continues on other engines or is
 * refused. This bounds the load on the link when an engine that many streams use fails, and when a
 * zone lacks a layer.
 */
public final class InterZoneBudget {
    /**
     * Time of the links over which unused shares accumulate, so that a node may use its share of
     * some seconds at once.
     */
    private static final Duration BURST = Duration.ofSeconds(5);

    private static final double MILLIS = 1_000;
    private static final double MILLI_NANOS = 1_000_000;
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1_000_000;

    private double nodes;
    private double availableMillis;
    private long refilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param nodes number of nodes, this one included
     */
    public InterZoneBudget(double nodes) {
        nodes(nodes);
        availableMillis = burstMillis();
    }

    /**
     * Sets how many nodes share the links.
     *
     * @param count the number, this node included; at least 1
     */
    public void nodes(double count) {
        nodes = Math.max(1, count);
    }

    private double burstMillis() {
        return BURST.toMillis() / nodes;
    }

    /**
     * Acquires the link time that a chain's activations need.
     *
     * @param crossings number of links between zones that they pass
     * @param promptTokens tokens whose activations are sent at once
     * @param spec sizes and speeds
     * @param nowNanos time now
     * @return true if the chain may be used; its time is then deducted
     */
    public boolean tryAcquire(int crossings, long promptTokens, EngineSpec spec, long nowNanos) {
        if (crossings <= 0) {
            return true;
        }
        double elapsedMillis = (nowNanos - refilledNanos) / MILLI_NANOS;
        availableMillis = Math.min(burstMillis(), availableMillis + elapsedMillis / nodes);
        refilledNanos = nowNanos;
        if (availableMillis <= 0) {
            return false;
        }
        availableMillis -= crossings * transferMillis(promptTokens, spec);
        return true;
    }

    /**
     * Computes how long a prompt's activations occupy a link.
     *
     * @param promptTokens tokens of the prompt
     * @param spec sizes and speeds
     * @return the time, in milliseconds
     */
    static double transferMillis(long promptTokens, EngineSpec spec) {
        double bits = promptTokens * spec.activationBytes() * BITS_PER_BYTE;
        return bits / (spec.interZoneMbps() * BITS_PER_MEGABIT) * MILLIS;
    }
}
