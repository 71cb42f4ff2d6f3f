package hyssopturn.chain;

import hyssopturn.fleet.Endpoint;
import hyssopturn.load.LoadNetwork;
import hyssopturn.load.LoadScope;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Nodes of one zone that exchange their loads and start a request if the memory that they know to
 * be free is enough, in virtual time; engines take everything. Every fifth node has five times as
 * many clients as the others.
 */
final class SharedLoadSimulation {
    private static final double STAY_SECONDS = 2.5;
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final int BUSY_FACTOR = 5;
    private static final int SAMPLES_PER_SECOND = 20;
    private static final LoadScope SCOPE = new LoadScope("writers", "a");

    private final List<Endpoint> engines = ZoneSimulation.engines("a", 2, 19, 9);
    private final Map<InstanceId, Endpoint> byId =
            engines.stream().collect(Collectors.toMap(Endpoint::id, Function.identity()));
    private final Map<InstanceId, Double> held = new HashMap<>();
    private final Map<InstanceId, Double> heldSum = new HashMap<>();
    private final List<Integer> clients = new ArrayList<>();
    private final List<EngineLoad> loads = new ArrayList<>();
    private final LoadNetwork network;
    private final SplittableRandom random;
    private double usedSum;
    private double mostUsed;
    private double mostAtOne;
    private int samples;
    private int asked;
    private int started;

    SharedLoadSimulation(int nodes, long seed) {
        random = new SplittableRandom(seed);
        network =
                new LoadNetwork(
                        nodes,
                        List.of("a"),
                        Set.of(SCOPE),
                        id -> Optional.ofNullable(byId.get(id)).map(e -> SCOPE));
        for (int i = 0; i < nodes; i++) {
            LoadNetwork.Node node = network.nodes().get(i);
            loads.add(new EngineLoad(new SplittableRandom(i), nodes, node.own(), node.exchange()));
            for (int client = 0; client < (i % 5 == 0 ? BUSY_FACTOR : 1); client++) {
                clients.add(i);
            }
        }
    }

    /** Lets clients ask for a part of the capacity. */
    void play(double part, int seconds) {
        network.clock().advance(Duration.ofSeconds(1));
        double tokens = Engines.SPEC.meanPromptTokens() + Engines.SPEC.meanAnswerTokens();
        double perSecond = part * capacity() / Engines.SPEC.layers() / tokens / STAY_SECONDS;
        long end = network.clock().nanos() + Duration.ofSeconds(seconds).toNanos();
        long measureFrom = network.clock().nanos() + WARM_UP.toNanos();
        double nextSample = measureFrom;
        while (network.clock().nanos() < end) {
            double wait = -Math.log(1 - random.nextDouble()) / perSecond;
            network.clock().advance(Duration.ofNanos((long) (wait * 1e9)));
            arrive();
            while (network.clock().nanos() >= nextSample) {
                sample();
                nextSample += 1e9 / SAMPLES_PER_SECOND;
            }
        }
    }

    private void arrive() {
        asked++;
        EngineLoad node = loads.get(clients.get(random.nextInt(clients.size())));
        long prompt = (long) (Engines.SPEC.meanPromptTokens() * (0.2 + 1.6 * random.nextDouble()));
        ChainSearch.Size size =
                new ChainSearch.Size(prompt, (long) Engines.SPEC.meanAnswerTokens());
        long now = network.clock().nanos();
        node.own().streams("writers", 0).asked();
        if (freeTokens(node) < (double) size.tokens() * Engines.SPEC.layers()) {
            node.own().streams("writers", 0).notStarted();
            return;
        }
        new ChainSearch(Engines.SPEC, node, random, now)
                .cheapest(engines, "a", size, Set.of(), e -> true)
                .ifPresent(chain -> start(node, chain, size.tokens()));
    }

    /** Returns the memory that a node knows to be free, in tokens of one layer. */
    private double freeTokens(EngineLoad node) {
        double draw = random.nextDouble();
        return engines.stream()
                .mapToDouble(
                        e ->
                                capacity(e)
                                        - node.predictedTokens(e.id(), draw)
                                                .orElse((double) node.ownTokens(e.id())))
                .sum();
    }

    private void start(EngineLoad node, EngineChain chain, long tokens) {
        started++;
        node.own().streams("writers", 0).started();
        node.add(chain, tokens);
        change(chain, tokens);
        double stay = STAY_SECONDS * (0.5 + random.nextDouble());
        network.clock()
                .after(
                        Duration.ofNanos((long) (stay * 1e9)),
                        () -> {
                            node.remove(chain, tokens);
                            change(chain, -tokens);
                        });
    }

    private void change(EngineChain chain, long tokens) {
        chain.hops()
                .forEach(
                        h ->
                                held.merge(
                                        h.engine().id(),
                                        (double) tokens * h.range().size(),
                                        Double::sum));
    }

    private void sample() {
        samples++;
        double used = held.values().stream().mapToDouble(d -> d).sum() / capacity();
        usedSum += used;
        mostUsed = Math.max(mostUsed, used);
        held.forEach((id, tokens) -> heldSum.merge(id, tokens, Double::sum));
        engines.forEach(
                e -> mostAtOne = Math.max(mostAtOne, held.getOrDefault(e.id(), 0.0) / capacity(e)));
    }

    private static double capacity(Endpoint engine) {
        int layers = engine.layers().orElseThrow().size();
        return layers
                * Engines.SPEC.tokensThatFit(
                        Engines.SPEC.kind(engine.kind()).orElseThrow(), layers);
    }

    private double capacity() {
        return engines.stream().mapToDouble(SharedLoadSimulation::capacity).sum();
    }

    double meanUsed() {
        return usedSum / samples;
    }

    double mostUsed() {
        return mostUsed;
    }

    /**
     * Returns the mean use of the busiest engine, as a multiple of the mean use of those of its
     * kind; fast kinds are meant to be used more than slow ones.
     */
    double busiestPart() {
        return engines.stream().mapToDouble(e -> use(e) / meanUse(e.kind())).max().orElseThrow();
    }

    private double meanUse(String kind) {
        return engines.stream()
                .filter(e -> e.kind().equals(kind))
                .mapToDouble(this::use)
                .average()
                .orElseThrow();
    }

    private double use(Endpoint engine) {
        return heldSum.getOrDefault(engine.id(), 0.0) / capacity(engine) / samples;
    }

    @Override
    public String toString() {
        return "used %.3f, most %.3f, busiest %.2f (at any time %.2f of its memory), started %d of %d"
                .formatted(meanUsed(), mostUsed, busiestPart(), mostAtOne, started, asked);
    }
}
