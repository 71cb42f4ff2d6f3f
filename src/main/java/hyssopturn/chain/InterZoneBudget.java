package hyssopturn.chain;

import hyssopturn.catalog.EngineSpec;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Token buckets for this node's share of the transfer time of each link between zones; not
 * thread-safe.
 *
 * <p>A prompt's activations occupy a link for as long as some tens of messages between engines do,
 * one prompt after another. If every stream that loses an engine were rerouted through another
 * zone, all of them would wait for the link until their callers give up. Each node therefore uses
 * an equal share of each link's time; a request that does not fit continues on other engines or is
 * refused. This bounds the load on each link when an engine that many streams use fails, and when a
 * zone lacks a layer. A part of each share is kept for streams that began and lost their chain.
 */
public final class InterZoneBudget {
    /**
     * Time of a link over which unused shares accumulate, so that a node may use its share of some
     * seconds at once.
     */
    private static final Duration BURST = Duration.ofSeconds(5);

    /** Part of a full share that is left for streams whose callers have received events. */
    private static final double BEGUN_PART = 0.3;

    private static final double MILLIS = 1_000;
    private static final double MILLI_NANOS = 1_000_000;
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1_000_000;

    private final Map<ZoneLink, Bucket> buckets = new HashMap<>();
    private final ZoneFlows flows;
    private double nodes;

    /**
     * Creates full buckets.
     *
     * @param nodes number of nodes, this one included
     */
    public InterZoneBudget(double nodes) {
        this(nodes, new ZoneFlows());
    }

    private InterZoneBudget(double nodes, ZoneFlows flows) {
        this.flows = flows;
        nodes(nodes);
    }

    /**
     * Copies the budget, so that its use can be tried.
     *
     * @return the copy, whose flows report nothing
     */
    public InterZoneBudget copy() {
        InterZoneBudget copy = new InterZoneBudget(nodes, flows.copy());
        buckets.forEach(
                (link, bucket) ->
                        copy.buckets.put(
                                link, new Bucket(bucket.availableMillis, bucket.refilledNanos)));
        return copy;
    }

    /** What link time is needed for. */
    public enum Use {
        /** A request of which the caller has received nothing, or which still has its chain. */
        NEW,
        /** A stream that began and is lost without another chain. */
        BEGUN
    }

    /** Transfer time that is left on one link, in milliseconds. */
    private static final class Bucket {
        private double availableMillis;
        private long refilledNanos;

        Bucket(double availableMillis, long nowNanos) {
            this.availableMillis = availableMillis;
            refilledNanos = nowNanos;
        }

        void refill(double share, long nowNanos) {
            double elapsedMillis = (nowNanos - refilledNanos) / MILLI_NANOS;
            availableMillis = Math.min(burstMillis(share), availableMillis + share * elapsedMillis);
            refilledNanos = nowNanos;
        }
    }

    /**
     * Sets how many nodes share the links.
     *
     * @param count the number, this node included; at least 1
     */
    public void nodes(double count) {
        nodes = Math.max(1, count);
    }

    /**
     * Acquires the link time that a chain's activations need.
     *
     * @param links links between zones that they pass
     * @param promptTokens tokens whose activations are sent at once
     * @param spec sizes and speeds
     * @param use what the link time is needed for
     * @param nowNanos time now
     * @return true if the chain may be used; its time is then deducted
     */
    public boolean tryAcquire(
            List<ZoneLink> links, long promptTokens, EngineSpec spec, Use use, long nowNanos) {
        double reserved = use == Use.BEGUN ? 0 : BEGUN_PART * burstMillis(1 / nodes);
        boolean available = true;
        for (ZoneLink link : links) {
            available &= refilled(link, nowNanos).availableMillis > reserved;
        }
        if (available) {
            double millis = transferMillis(promptTokens, spec);
            links.forEach(link -> buckets.get(link).availableMillis -= millis);
        }
        return available;
    }

    private Bucket refilled(ZoneLink link, long nowNanos) {
        double share = 1 / nodes;
        Bucket bucket =
                buckets.computeIfAbsent(link, l -> new Bucket(burstMillis(share), nowNanos));
        bucket.refill(share, nowNanos);
        return bucket;
    }

    private static double burstMillis(double share) {
        return share * BURST.toMillis();
    }

    /**
     * Returns the parts of the requests that are sent whole to other zones.
     *
     * @return the parts, by service
     */
    public ZoneFlows flows() {
        return flows;
    }

    /**
     * Computes how long a prompt's activations occupy a link.
     *
     * @param promptTokens tokens of the prompt
     * @param spec sizes and speeds
     * @return the time, in milliseconds
     */
    public static double transferMillis(long promptTokens, EngineSpec spec) {
        return linkMillis(promptTokens * spec.activationBytes(), spec);
    }

    /**
     * Computes how long bytes occupy a link.
     *
     * @param bytes number of bytes
     * @param spec sizes and speeds
     * @return the time, in milliseconds
     */
    static double linkMillis(double bytes, EngineSpec spec) {
        double bits = bytes * BITS_PER_BYTE;
        return bits / (spec.interZoneMbps() * BITS_PER_MEGABIT) * MILLIS;
    }
}
