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
 * Nodes of one availability zone that send requests to the same engines without hearing of each
 * other; virtual time. An engine refuses what its memory does not hold.
 */
final class ZoneOfNodes {
    private static final long SECOND = 1_000_000_000L;

    /** Time that a request stays at the engines of its chain. */
    private static final double STAY_SECONDS = 2.5;

    /** Callers a node; each keeps to its node, so nodes get unequal shares. */
    private static final int CALLERS_A_NODE = 4;

    private final List<Endpoint> engines;
    private final List<EngineLoad> nodes;
    private final SplittableRandom random;
    private final Map<InstanceId, Long> layerTokens = new HashMap<>();
    private final int[] nodeOfCaller;
    private int requests;
    private int refusals;
    private int lost;
    private int hops;

    ZoneOfNodes(List<Endpoint> engines, List<EngineLoad> nodes, long seed) {
        this.engines = engines;
        this.nodes = nodes;
        random = new SplittableRandom(seed);
        nodeOfCaller = random.ints((long) CALLERS_A_NODE * nodes.size(), 0, nodes.size()).toArray();
    }

    private record Leaving(long nanos, EngineLoad node, EngineChain chain, long tokens) {}

    /** Sends requests of the usual size at random moments. */
    void play(double perSecond, int seconds) {
        PriorityQueue<Leaving> leaving =
                new PriorityQueue<>(Comparator.comparingLong(Leaving::nanos));
        long now = 0;
        while (now < seconds * SECOND) {
            now += (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
            while (!leaving.isEmpty() && leaving.peek().nanos <= now) {
                leave(leaving.poll());
            }
            EngineLoad node = nodes.get(nodeOfCaller[random.nextInt(nodeOfCaller.length)]);
            ChainSearch.Size size = size();
            long until = now + (long) (STAY_SECONDS * SECOND);
            send(node, size, now)
                    .ifPresent(c -> leaving.add(new Leaving(until, node, c, size.tokens())));
        }
    }

    private ChainSearch.Size size() {
        long prompt = (long) (Engines.SPEC.usualPromptTokens() * (0.2 + 1.6 * random.nextDouble()));
        return new ChainSearch.Size(prompt, (long) Engines.SPEC.usualAnswerTokens());
    }

    /** Offers a request twice at most, the second time without the engine that refused. */
    private Optional<EngineChain> send(EngineLoad node, ChainSearch.Size size, long now) {
        requests++;
        Set<InstanceId> excluded = new HashSet<>();
        for (int attempt = 0; attempt < 2; attempt++) {
            List<Endpoint> usable = engines.stream().filter(e -> !node.full(e.id(), now)).toList();
            Optional<EngineChain> chain =
                    new ChainSearch(Engines.SPEC, node, random, now)
                            .cheapest(usable, "a", size, excluded, e -> true);
            if (chain.isEmpty()) {
                break;
            }
            Optional<InstanceId> full = full(chain.get(), size.tokens());
            if (full.isEmpty()) {
                chain.get().hops().forEach(h -> take(h, size.tokens()));
                hops += chain.get().hops().size();
                node.add(chain.get(), size.tokens());
                return chain;
            }
            refusals++;
            excluded.add(full.get());
            node.refused(full.get(), now);
        }
        lost++;
        return Optional.empty();
    }

    private Optional<InstanceId> full(EngineChain chain, long more) {
        return chain.hops().stream()
                .filter(h -> held(h) + more * h.range().size() > room(h.engine()))
                .map(h -> h.engine().id())
                .findFirst();
    }

    private long held(Hop hop) {
        return layerTokens.getOrDefault(hop.engine().id(), 0L);
    }

    /** Memory of an engine, in tokens of one layer. */
    private static double room(Endpoint engine) {
        int layers = engine.layers().orElseThrow().size();
        return layers
                * Engines.SPEC.tokensBeside(Engines.SPEC.kind(engine.kind()).orElseThrow(), layers);
    }

    private void take(Hop hop, long more) {
        layerTokens.merge(hop.engine().id(), more * hop.range().size(), Long::sum);
    }

    private void leave(Leaving request) {
        request.chain.hops().forEach(h -> take(h, -request.tokens));
        request.node.remove(request.chain, request.tokens);
    }

    /** Requests that the engines' memory holds at once if it is used evenly. */
    double room() {
        double room = engines.stream().mapToDouble(ZoneOfNodes::room).sum();
        double usual = Engines.SPEC.usualPromptTokens() + Engines.SPEC.usualAnswerTokens();
        return room / Engines.SPEC.layers() / usual;
    }

    /** Arrivals a second that keep a part of the room in use. */
    double rate(double part) {
        return part * room() / STAY_SECONDS;
    }

    double meanHops() {
        return (double) hops / requests;
    }

    double refusedShare() {
        return (double) refusals / requests;
    }

    double lostShare() {
        return (double) lost / requests;
    }

    /** Engines of a zone that hold what the planner gives them. */
    static List<Endpoint> engines(String zone, int large, int medium, int small) {
        List<Endpoint> empty = new ArrayList<>();
        add(empty, zone, Engines.LARGE, large);
        add(empty, zone, Engines.MEDIUM, medium);
        add(empty, zone, Engines.SMALL, small);
        return new LayerPlanner(Engines.SPEC)
                .plan(empty).stream().map(a -> a.engine().holding(a.range())).toList();
    }

    private static void add(List<Endpoint> engines, String zone, String kind, int count) {
        for (int i = 0; i < count; i++) {
            engines.add(Engines.empty(zone + "-" + kind + i, zone, kind));
        }
    }
}
