package hyssopturn.chain;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulation, in virtual time, of the nodes of one availability zone that send requests to the same
 * engines without coordination. An engine refuses requests that do not fit into its memory.
 */
final class ZoneSimulation {
    private static final long SECOND = 1_000_000_000L;

    /** Time for which a request occupies the engines of its chain. */
    private static final double STAY_SECONDS = 2.5;

    /**
     * Mean number of callers per node; each caller stays with one node, so nodes get unequal
     * shares.
     */
    private static final int CALLERS_PER_NODE = 4;

    private final List<Endpoint> engines;
    private final List<EngineLoad> nodes;
    private final SplittableRandom random;
    private final Map<InstanceId, Long> layerTokens = new HashMap<>();
    private final int[] nodeOfCaller;
    private int requests;
    private int refusals;
    private int dropped;
    private int hopCount;

    ZoneSimulation(List<Endpoint> engines, List<EngineLoad> nodes, long seed) {
        this.engines = engines;
        this.nodes = nodes;
        random = new SplittableRandom(seed);
        nodeOfCaller =
                random.ints((long) CALLERS_PER_NODE * nodes.size(), 0, nodes.size()).toArray();
    }

    private record Departure(long nanos, EngineLoad node, EngineChain chain, long tokens) {}

    /** Sends requests of mean size at random times. */
    void play(double perSecond, int seconds) {
        PriorityQueue<Departure> departures =
                new PriorityQueue<>(Comparator.comparingLong(Departure::nanos));
        long now = 0;
        while (now < seconds * SECOND) {
            now += (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
            while (!departures.isEmpty() && departures.peek().nanos <= now) {
                depart(departures.poll());
            }
            EngineLoad node = nodes.get(nodeOfCaller[random.nextInt(nodeOfCaller.length)]);
            ChainSearch.Size size = size();
            long until = now + (long) (STAY_SECONDS * SECOND);
            admit(node, size, now)
                    .ifPresent(c -> departures.add(new Departure(until, node, c, size.tokens())));
        }
    }

    private ChainSearch.Size size() {
        long prompt = (long) (Engines.SPEC.meanPromptTokens() * (0.2 + 1.6 * random.nextDouble()));
        return new ChainSearch.Size(prompt, (long) Engines.SPEC.meanAnswerTokens());
    }

    /** Tries a request at most twice, the second time without the engine that refused it. */
    private Optional<EngineChain> admit(EngineLoad node, ChainSearch.Size size, long now) {
        requests++;
        Set<InstanceId> excluded = new HashSet<>();
        for (int attempt = 0; attempt < 2; attempt++) {
            List<Endpoint> usable =
                    engines.stream().filter(e -> !node.recentlyRefused(e.id(), now)).toList();
            Optional<EngineChain> chain =
                    new ChainSearch(Engines.SPEC, node, random, now)
                            .cheapest(usable, "a", size, excluded, e -> true);
            if (chain.isEmpty()) {
                break;
            }
            Optional<InstanceId> refusing = refusing(chain.get(), size.tokens());
            if (refusing.isEmpty()) {
                chain.get().hops().forEach(h -> addTokens(h, size.tokens()));
                hopCount += chain.get().hops().size();
                node.add(chain.get(), size.tokens());
                return chain;
            }
            refusals++;
            excluded.add(refusing.get());
            node.recordRefusal(refusing.get(), now);
        }
        dropped++;
        return Optional.empty();
    }

    private Optional<InstanceId> refusing(EngineChain chain, long tokens) {
        return chain.hops().stream()
                .filter(h -> held(h) + tokens * h.range().size() > capacity(h.engine()))
                .map(h -> h.engine().id())
                .findFirst();
    }

    private long held(Hop hop) {
        return layerTokens.getOrDefault(hop.engine().id(), 0L);
    }

    /** Returns the memory of an engine, in tokens of one layer. */
    private static double capacity(Endpoint engine) {
        int layers = engine.layers().orElseThrow().size();
        return layers
                * Engines.SPEC.tokensThatFit(
                        Engines.SPEC.kind(engine.kind()).orElseThrow(), layers);
    }

    private void addTokens(Hop hop, long tokens) {
        layerTokens.merge(hop.engine().id(), tokens * hop.range().size(), Long::sum);
    }

    private void depart(Departure request) {
        request.chain.hops().forEach(h -> addTokens(h, -request.tokens));
        request.node.remove(request.chain, request.tokens);
    }

    /**
     * Returns the number of requests that the engines' memory holds at once if it is used evenly.
     */
    double capacity() {
        double capacity = engines.stream().mapToDouble(ZoneSimulation::capacity).sum();
        double tokensPerRequest = Engines.SPEC.meanPromptTokens() + Engines.SPEC.meanAnswerTokens();
        return capacity / Engines.SPEC.layers() / tokensPerRequest;
    }

    /** Returns the arrivals per second that keep a part of the capacity in use. */
    double rate(double part) {
        return part * capacity() / STAY_SECONDS;
    }

    double meanHops() {
        return (double) hopCount / requests;
    }

    double refusedShare() {
        return (double) refusals / requests;
    }

    double droppedShare() {
        return (double) dropped / requests;
    }

    /** Creates the engines of a zone with the layers that the planner assigns to them. */
    static List<Endpoint> engines(String zone, int large, int medium, int small) {
        List<Endpoint> empty = new ArrayList<>();
        add(empty, zone, Engines.LARGE, large);
        add(empty, zone, Engines.MEDIUM, medium);
        add(empty, zone, Engines.SMALL, small);
        return new LayerPlanner(Engines.SPEC)
                .plan(empty).stream().map(a -> a.engine().withLayers(a.range())).toList();
    }

    private static void add(List<Endpoint> engines, String zone, String kind, int count) {
        for (int i = 0; i < count; i++) {
            engines.add(Engines.empty(zone + "-" + kind + i, zone, kind));
        }
    }
}
