package hyssopturn.chain;

import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests and tokens that this node has at each engine; not thread-safe.
 *
 * <p>What other nodes send is not known at once. Callers of a zone are spread over its nodes, so
 * the node takes its own part times the number of nodes that share the zone.
 */
public final class EngineLoad {
    /** How long an engine that refused is taken to have no room; requests end about as often. */
    static final Duration FULL = Duration.ofMillis(200);

    private final int sharers;
    private final Map<InstanceId, Long> refusedNanos = new HashMap<>();
    private final Map<InstanceId, Held> held = new HashMap<>();
    private long total;

    /**
     * Creates a load of zero.
     *
     * @param sharers number of nodes that send about as much to an engine as this one
     */
    public EngineLoad(int sharers) {
        this.sharers = sharers;
    }

    private record Held(int requests, long tokens) {}

    /**
     * Adds a request to every engine of a chain.
     *
     * @param chain the chain
     * @param tokens tokens that the request may hold
     */
    public void add(EngineChain chain, long tokens) {
        total += tokens;
        change(chain, 1, tokens);
    }

    /**
     * Takes a request from every engine of a chain.
     *
     * @param chain the chain
     * @param tokens tokens that were added for the request
     */
    public void remove(EngineChain chain, long tokens) {
        total -= tokens;
        change(chain, -1, -tokens);
    }

    private void change(EngineChain chain, int requests, long tokens) {
        for (Hop hop : chain.hops()) {
            held.merge(
                    hop.engine().id(),
                    new Held(requests, tokens),
                    (a, b) ->
                            a.requests + b.requests == 0
                                    ? null
                                    : new Held(a.requests + b.requests, a.tokens + b.tokens));
        }
    }

    /**
     * Notes that an engine refused a request, which mostly means that others filled its memory.
     *
     * @param engine the engine
     * @param nowNanos time now
     */
    public void refused(InstanceId engine, long nowNanos) {
        refusedNanos.values().removeIf(at -> nowNanos - at >= FULL.toNanos());
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
        return at != null && nowNanos - at < FULL.toNanos();
    }

    /**
     * Estimates the requests at an engine.
     *
     * @param engine the engine
     * @return number of requests of all nodes
     */
    public int requests(InstanceId engine) {
        return sharers * held.getOrDefault(engine, new Held(0, 0)).requests;
    }

    /**
     * Estimates the tokens that requests hold at an engine of another zone. The callers there are
     * taken to be as many as those of this node's zone.
     *
     * @param engine the engine
     * @return number of tokens of all nodes
     */
    public long tokensAsVisitor(InstanceId engine) {
        return tokens(engine) + sharers * total;
    }

    /**
     * Counts the tokens that this node's requests hold at an engine.
     *
     * @param engine the engine
     * @return number of tokens
     */
    public long ownTokens(InstanceId engine) {
        return held.getOrDefault(engine, new Held(0, 0)).tokens;
    }

    /**
     * Estimates the tokens that requests hold at an engine.
     *
     * @param engine the engine
     * @return number of tokens of all nodes
     */
    public long tokens(InstanceId engine) {
        return sharers * ownTokens(engine);
    }
}
