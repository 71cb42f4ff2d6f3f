package hyssopturn.chain;

import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What this node has at each engine, and what it takes all nodes to have there; not thread-safe.
 *
 * <p>Nodes do not tell each other what they send. Each takes the others to do as it does itself.
 * The more nodes there are, the less a node's own few requests tell of a single engine, so the
 * estimate is blurred by as much as one more request would change it: nodes that know equally
 * little then choose differently, and together fill the engines evenly.
 */
public final class EngineLoad {
    /**
     * How long an engine that refused is taken to have no room, for each node that may try it next.
     * All nodes together then try a full engine about every 70 ms, as often as requests end there.
     */
    static final Duration FULL_EACH = Duration.ofMillis(70);

    /** How many times as long the engine is taken to be fuller than others. */
    static final int REFUSAL_MEMORY = 3;

    private final RandomGenerator random;
    private final Map<InstanceId, Long> refusedNanos = new HashMap<>();
    private final Map<InstanceId, Long> held = new HashMap<>();
    private double sharers;
    private long total;

    /**
     * Creates a load of zero.
     *
     * @param random blurs the estimates
     * @param sharers number of nodes that share an availability zone's engines, this one included
     */
    public EngineLoad(RandomGenerator random, double sharers) {
        this.random = random;
        this.sharers = sharers;
    }

    /**
     * Sets how many nodes share the engines of an availability zone.
     *
     * @param nodes the number, this node included; at least 1
     */
    public void sharers(double nodes) {
        sharers = Math.max(1, nodes);
    }

    /**
     * Returns how many nodes share the engines of an availability zone.
     *
     * @return the number, this node included
     */
    public double sharers() {
        return sharers;
    }

    /**
     * Adds a request to every engine of a chain.
     *
     * @param chain the chain
     * @param tokens tokens that the request may hold
     */
    public void add(EngineChain chain, long tokens) {
        total += tokens;
        change(chain, tokens);
    }

    /**
     * Takes a request from every engine of a chain.
     *
     * @param chain the chain
     * @param tokens tokens that were added for the request
     */
    public void remove(EngineChain chain, long tokens) {
        total -= tokens;
        change(chain, -tokens);
    }

    private void change(EngineChain chain, long tokens) {
        for (Hop hop : chain.hops()) {
            long more = tokens * hop.range().size();
            held.merge(hop.engine().id(), more, (a, b) -> a + b == 0 ? null : a + b);
        }
    }

    /**
     * Notes that an engine refused a request, which mostly means that others filled its memory.
     *
     * @param engine the engine
     * @param nowNanos time now
     */
    public void refused(InstanceId engine, long nowNanos) {
        refusedNanos.values().removeIf(at -> nowNanos - at >= REFUSAL_MEMORY * fullNanos());
        refusedNanos.put(engine, nowNanos);
    }

    /**
     * Tells whether an engine refused a request a moment ago.
     *
     * @param engine the engine
     * @param nowNanos time now
     * @return true if it is better left alone now
     */
    public boolean full(InstanceId engine, long nowNanos) {
        Long at = refusedNanos.get(engine);
        return at != null && nowNanos - at < fullNanos();
    }

    private double fullNanos() {
        return FULL_EACH.toNanos() * sharers;
    }

    /**
     * Estimates the part of an engine's memory that requests of all nodes hold. The estimate is
     * drawn anew each time; only its mean over many draws is right.
     *
     * @param engine the engine
     * @param room its memory, in tokens of one layer
     * @param request what one more request may hold there, in tokens of one layer
     * @param nowNanos time now
     * @return the part, about 0 to 1, and more if the engine refused a short time ago
     */
    double use(InstanceId engine, double room, double request, long nowNanos) {
        double blurred = ownTokens(engine) + request * random.nextDouble();
        return sharers * blurred / room + afterRefusal(engine, nowNanos);
    }

    private double afterRefusal(InstanceId engine, long nowNanos) {
        Long at = refusedNanos.get(engine);
        return at == null ? 0 : Math.max(0, 1 - (nowNanos - at) / (REFUSAL_MEMORY * fullNanos()));
    }

    /**
     * Estimates the tokens that the requests of all nodes of an availability zone hold.
     *
     * @return number of tokens, each counted once for a whole chain
     */
    public double zoneTokens() {
        return sharers * total;
    }

    /**
     * Counts the tokens that this node's requests hold at an engine.
     *
     * @param engine the engine
     * @return number of tokens of one layer
     */
    long ownTokens(InstanceId engine) {
        return held.getOrDefault(engine, 0L);
    }
}
