package hyssopturn.chain;

import hyssopturn.fleet.Endpoint;
import hyssopturn.load.LoadScope;
import hyssopturn.load.LoadView;
import hyssopturn.load.OwnLoad;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/**
 * The tokens that this node's requests hold at each engine, and an estimate for the requests of all
 * nodes; not thread-safe.
 *
 * <p>While the loads of the other nodes are known, the estimate is their sum. Else the node assumes
 * that the others behave as it does itself. The more nodes there are, the less a node's own few
 * requests reveal about a single engine. Both estimates get random noise, of up to one further
 * request and in proportion to what others may have started since: nodes with the same information
 * then choose differently, and together fill the engines evenly.
 */
public final class EngineLoad {
    /**
     * Backoff after an engine refused a request, for each node that may try it next. All nodes
     * together then try a full engine about every 70 ms, as often as requests end there.
     */
    static final Duration BACKOFF_PER_NODE = Duration.ofMillis(70);

    /**
     * Number of backoffs during which a refusal adds to the engine's estimated use, less and less.
     */
    static final int PENALTY_BACKOFFS = 3;

    /**
     * Noise of an estimate, as a multiple of what other nodes started at an engine on average since
     * its load was measured. The range must hold so many engines that they together get what is
     * started in that time.
     */
    private static final double NOISE_PER_STARTED = 3;

    private final RandomGenerator random;
    private final OwnLoad own;
    private final LoadView others;
    private final Map<InstanceId, Long> refusedNanos = new HashMap<>();
    private final Map<InstanceId, Long> layerTokens = new HashMap<>();
    private double nodesPerZone;
    private long totalTokens;

    /**
     * Creates a load of zero.
     *
     * @param random source of the noise in the estimates
     * @param nodesPerZone number of nodes that share an availability zone's engines, this one
     *     included
     */
    public EngineLoad(RandomGenerator random, double nodesPerZone) {
        this(random, nodesPerZone, new OwnLoad(), LoadView.NONE);
    }

    /**
     * Creates a load of zero that is passed on to other nodes.
     *
     * @param random source of the noise in the estimates
     * @param nodesPerZone number of nodes that share an availability zone's engines, this one
     *     included
     * @param own receives the load of this node
     * @param others what is known of the load of all nodes
     */
    public EngineLoad(RandomGenerator random, double nodesPerZone, OwnLoad own, LoadView others) {
        this.random = random;
        this.own = own;
        this.others = others;
        this.nodesPerZone = nodesPerZone;
    }

    /**
     * Copies the load, so that a choice can be tried without drawing from the same noise.
     *
     * @param noise source of the noise in the copy's estimates
     * @return the copy, which does not change with the original
     */
    public EngineLoad copy(RandomGenerator noise) {
        EngineLoad copy = new EngineLoad(noise, nodesPerZone);
        copy.refusedNanos.putAll(refusedNanos);
        copy.layerTokens.putAll(layerTokens);
        copy.totalTokens = totalTokens;
        return copy;
    }

    /**
     * Sets how many nodes share the engines of an availability zone.
     *
     * @param nodes the number, this node included; at least 1
     */
    public void nodesPerZone(double nodes) {
        nodesPerZone = Math.max(1, nodes);
    }

    /**
     * Returns how many nodes share the engines of an availability zone.
     *
     * @return the number, this node included
     */
    public double nodesPerZone() {
        return nodesPerZone;
    }

    /**
     * Adds a request to every engine of a chain.
     *
     * @param chain the chain
     * @param tokens tokens that the request may hold
     */
    public void add(EngineChain chain, long tokens) {
        totalTokens += tokens;
        change(chain, tokens);
    }

    /**
     * Removes a request from every engine of a chain.
     *
     * @param chain the chain
     * @param tokens tokens that were added for the request
     */
    public void remove(EngineChain chain, long tokens) {
        totalTokens -= tokens;
        change(chain, -tokens);
    }

    /**
     * Returns this node's own load as other nodes are told.
     *
     * @return the load, in which streams are counted
     */
    public OwnLoad own() {
        return own;
    }

    private void change(EngineChain chain, long tokens) {
        for (Hop hop : chain.hops()) {
            long more = tokens * hop.range().size();
            Endpoint engine = hop.engine();
            layerTokens.merge(engine.id(), more, (a, b) -> a + b == 0 ? null : a + b);
            own.change(new LoadScope(engine.service(), engine.zone()), engine.id(), more);
        }
    }

    /**
     * Records that an engine refused a request, mostly because other nodes' requests filled its
     * memory.
     *
     * @param engine the engine
     * @param nowNanos time now
     */
    public void recordRefusal(InstanceId engine, long nowNanos) {
        refusedNanos
                .values()
                .removeIf(refusedAt -> nowNanos - refusedAt >= PENALTY_BACKOFFS * backoffNanos());
        refusedNanos.put(engine, nowNanos);
    }

    /**
     * Returns whether an engine refused a request so recently that it should not get another one.
     *
     * @param engine the engine
     * @param nowNanos time now
     * @return true during the backoff after a refusal
     */
    public boolean recentlyRefused(InstanceId engine, long nowNanos) {
        Long refusedAt = refusedNanos.get(engine);
        return refusedAt != null && nowNanos - refusedAt < backoffNanos();
    }

    private double backoffNanos() {
        return BACKOFF_PER_NODE.toNanos() * nodesPerZone;
    }

    /**
     * Estimates the part of an engine's memory that requests of all nodes hold. Each call draws new
     * noise; only the mean over many calls is accurate.
     *
     * @param engine the engine
     * @param capacity its memory, in tokens of one layer
     * @param request memory that one more request may hold there, in tokens of one layer
     * @param nowNanos time now
     * @return the part, about 0 to 1, and more if the engine refused a request a short time ago
     */
    double estimateUse(InstanceId engine, double capacity, double request, long nowNanos) {
        OptionalDouble known = others.usedTokens(engine);
        if (known.isPresent()) {
            double noise = request + NOISE_PER_STARTED * others.uncertainTokens(engine);
            double tokens = known.getAsDouble() + noise * random.nextDouble();
            return tokens / capacity + refusalPenalty(engine, nowNanos);
        }
        double ownEstimate = ownTokens(engine) + request * random.nextDouble();
        return nodesPerZone * ownEstimate / capacity + refusalPenalty(engine, nowNanos);
    }

    private double refusalPenalty(InstanceId engine, long nowNanos) {
        Long refusedAt = refusedNanos.get(engine);
        return refusedAt == null
                ? 0
                : Math.max(0, 1 - (nowNanos - refusedAt) / (PENALTY_BACKOFFS * backoffNanos()));
    }

    /**
     * Estimates the tokens that the requests of all nodes of an availability zone hold.
     *
     * @return number of tokens, each counted once for a whole chain
     */
    public double zoneTokens() {
        return nodesPerZone * totalTokens;
    }

    /**
     * Predicts the tokens that the requests of all nodes hold at an engine, where those that they
     * held a short time ago are known. What the others have started since lies between nothing and
     * all that their clients asked for; if every node assumed the mean, all would start requests at
     * the same time, and stop together. So each decision draws a position in that range.
     *
     * @param engine the engine
     * @param draw position in the range, from 0 to 1, the same for all engines of a decision
     * @return number of tokens of one layer, empty if the load of the other nodes is not known
     */
    OptionalDouble predictedTokens(InstanceId engine, double draw) {
        OptionalDouble used = others.usedTokens(engine);
        if (used.isEmpty()) {
            return used;
        }
        double since = draw * others.askedPerStarted(engine) - 1;
        return OptionalDouble.of(used.getAsDouble() + since * others.uncertainTokens(engine));
    }

    /**
     * Counts the tokens that this node's requests hold at an engine.
     *
     * @param engine the engine
     * @return number of tokens of one layer
     */
    long ownTokens(InstanceId engine) {
        return layerTokens.getOrDefault(engine, 0L);
    }
}
