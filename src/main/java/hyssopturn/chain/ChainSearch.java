package hyssopturn.chain;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Finds the chain with the lowest predicted time to answer, and keeps the use of the engines even.
 *
 * <p>An engine's memory is exhausted long before its speed is, so the share of its memory in use
 * dominates its cost; among engines with equal use the fast ones are preferred. An engine may run a
 * part of the layers that it holds, so a chain may change engines at any boundary of a held range.
 * Crossing between zones costs the transfer of the prompt's activations over the link that all
 * crossing requests share, and that link cannot carry the prompts of a whole zone. If the load of
 * other zones' clients is known, {@link ZoneChoice} says which zones to try. Otherwise the search
 * tries the node's own zone first. If that zone lacks a layer or is full, the search tries another
 * zone, chosen at random by the memory that it has beside its own callers, who are assumed to be as
 * many as those of the node's zone. Chains over several zones are the last resort. The search copes
 * with zones that lose engines and with any number of nodes that choose without coordination.
 */
public final class ChainSearch {
    /**
     * Time that each hop adds to each token: the message, and the wait for the engine's next
     * forward pass.
     */
    private static final double HOP_MILLIS_PER_TOKEN = 1;

    /**
     * Assumed number of prompt transfers in the queue of a link between zones, this one included.
     */
    private static final double LINK_QUEUE_TRANSFERS = 4;

    /** Cost of a chain of engines whose memory is full over that of a chain of unused engines. */
    private static final double FULL_MEMORY_MILLIS = 10_000;

    /**
     * Number of nodes whose requests an engine's memory must at least have room for. If one node
     * filled all of it, the requests of the others would be preempted.
     */
    private static final long MIN_NODES_PER_ENGINE = 2;

    private static final double MILLIS = 1_000;

    private final EngineSpec spec;
    private final EngineLoad load;
    private final RandomGenerator random;
    private final long nowNanos;
    private final Optional<ZoneChoice> choice;

    /**
     * Creates a search that knows nothing of other zones' clients.
     *
     * @param spec sizes and speeds of the engines
     * @param load load of the engines by this node's requests
     * @param random source of the random choice among other zones
     * @param nowNanos time now
     */
    public ChainSearch(EngineSpec spec, EngineLoad load, RandomGenerator random, long nowNanos) {
        this(spec, load, random, nowNanos, Optional.empty());
    }

    /**
     * Creates a search.
     *
     * @param spec sizes and speeds of the engines
     * @param load load of the engines by this node's requests
     * @param random source of the random choice among other zones
     * @param nowNanos time now
     * @param choice choice of the zones, empty if nothing is known of other zones' clients
     */
    public ChainSearch(
            EngineSpec spec,
            EngineLoad load,
            RandomGenerator random,
            long nowNanos,
            Optional<ZoneChoice> choice) {
        this.spec = spec;
        this.load = load;
        this.random = random;
        this.nowNanos = nowNanos;
        this.choice = choice;
    }

    /**
     * Size of a request.
     *
     * @param promptTokens tokens to read
     * @param answerTokens greatest number of tokens to write
     */
    public record Size(long promptTokens, long answerTokens) {
        /**
         * Returns the greatest number of tokens that the request may hold at an engine.
         *
         * @return number of tokens
         */
        public long tokens() {
            return promptTokens + answerTokens;
        }
    }

    /**
     * An engine with its memory, in tokens of one layer, and the cost of running one layer there.
     */
    private record Candidate(Endpoint engine, LayerRange held, double capacity, double layerCost) {}

    /** A path up to a layer, whose last engine runs the layers from {@code from} on. */
    private record Label(int layer, Endpoint engine, int from, double cost, Label previous) {
        boolean uses(InstanceId id) {
            return engine != null
                    && (engine.id().equals(id) || (previous != null && previous.uses(id)));
        }
    }

    /** The zone that the search starts in, the layer that it must reach, and its conditions. */
    private record Goal(String zone, int layer, Size size, Predicate<Endpoint> mayBeFirst) {}

    /**
     * Finds the cheapest chain.
     *
     * @param engines engines that may be used
     * @param zone availability zone of this node
     * @param size size of the request
     * @param excluded engines that must not be used
     * @param mayBeFirst tests whether an engine may be the first of the chain
     * @return the chain, empty if the engines do not hold every layer or lack memory
     */
    public Optional<EngineChain> cheapest(
            List<Endpoint> engines,
            String zone,
            Size size,
            Set<InstanceId> excluded,
            Predicate<Endpoint> mayBeFirst) {
        List<Candidate> candidates = candidates(engines, size, excluded);
        Map<String, List<Candidate>> zones =
                candidates.stream().collect(Collectors.groupingBy(c -> c.engine.zone()));
        Goal goal = new Goal(zone, spec.layers(), size, mayBeFirst);
        Label start = new Label(0, null, 0, 0, null);
        List<Candidate> own = zones.getOrDefault(zone, List.of());
        if (choice.isPresent()) {
            return searchInOrder(choice.get(), candidates, zones, start, goal)
                    .map(end -> new EngineChain(hops(end)));
        }
        return searchUnlessFull(own, start, goal)
                .or(() -> searchOtherZones(zones, start, goal))
                .or(() -> search(withinNodeLimit(own, size), start, goal))
                .or(() -> search(withinNodeLimit(candidates, size), start, goal))
                .map(end -> new EngineChain(hops(end)));
    }

    /**
     * Searches the zones with spare memory in the order of the choice, and those of whose clients
     * nothing is known after them. If all are full, the own zone comes before chains over several
     * zones.
     */
    private Optional<Label> searchInOrder(
            ZoneChoice chosen,
            List<Candidate> candidates,
            Map<String, List<Candidate>> zones,
            Label start,
            Goal goal) {
        Map<String, List<Candidate>> unknown = new HashMap<>(zones);
        for (ZoneChoice.Way way : chosen.order(random.nextDouble())) {
            if (way.reach() instanceof ZoneChoice.Reach.Zone zone) {
                List<Candidate> engines = unknown.remove(zone.name());
                Optional<Label> found =
                        engines == null ? Optional.empty() : searchUnlessFull(engines, start, goal);
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        List<Candidate> own = zones.getOrDefault(goal.zone, List.of());
        return searchOtherZones(unknown, start, goal)
                .or(() -> search(withinNodeLimit(own, goal.size), start, goal))
                .or(() -> search(withinNodeLimit(candidates, goal.size), start, goal));
    }

    /**
     * Searches the other zones in a random order, weighted by the memory that each has beside its
     * own callers, who are assumed to be as many as those of this node's zone. If all nodes chose
     * the zone with most memory, they would fill it together.
     */
    private Optional<Label> searchOtherZones(
            Map<String, List<Candidate>> zones, Label start, Goal goal) {
        return zones.entrySet().stream()
                .filter(zone -> !zone.getKey().equals(goal.zone))
                .map(Map.Entry::getValue)
                .filter(engines -> hasSpareMemory(engines, goal.size))
                .map(engines -> new ZoneDraw(engines, drawTime(engines)))
                .sorted(Comparator.comparingDouble(ZoneDraw::time))
                .flatMap(draw -> search(draw.engines, start, goal).stream())
                .findFirst();
    }

    private Optional<Label> searchUnlessFull(List<Candidate> engines, Label start, Goal goal) {
        return hasSpareMemory(engines, goal.size) ? search(engines, start, goal) : Optional.empty();
    }

    private boolean hasSpareMemory(List<Candidate> engines, Size size) {
        return spareTokens(engines) >= size.tokens();
    }

    private record ZoneDraw(List<Candidate> engines, double time) {}

    /**
     * Draws an exponential time with the zone's spare tokens as its rate. The zone with the
     * shortest time comes first, so its probability is proportional to its spare tokens.
     */
    private double drawTime(List<Candidate> engines) {
        return -Math.log(1 - random.nextDouble()) / spareTokens(engines);
    }

    /**
     * Returns the tokens that fit at the layer with the least memory, beside what is held there. If
     * that is not known of every engine, it is estimated by the zone's own callers.
     */
    private double spareTokens(List<Candidate> engines) {
        double[] capacity = new double[spec.layers()];
        double[] spare = new double[spec.layers()];
        boolean known = true;
        double draw = random.nextDouble();
        for (Candidate c : engines) {
            OptionalDouble used = load.predictedTokens(c.engine.id(), draw);
            known &= used.isPresent();
            double free = Math.max(0, c.capacity - used.orElse(0));
            for (int layer = c.held.from();
                    layer < Math.min(c.held.to(), capacity.length);
                    layer++) {
                capacity[layer] += c.capacity / c.held.size();
                spare[layer] += free / c.held.size();
            }
        }
        return known ? least(spare) : least(capacity) - load.zoneTokens();
    }

    private static double least(double[] tokens) {
        return Arrays.stream(tokens).min().orElse(0);
    }

    /**
     * Replaces an engine that failed by others that run its layers; the rest of the chain stays.
     *
     * @param chain the chain
     * @param failed engine that failed; not the first one of the chain
     * @param engines engines that may be used
     * @param size size of the request
     * @param excluded engines that must not be used
     * @return the chain with the failed engine replaced, empty if no other engines can run its
     *     layers
     */
    public Optional<EngineChain> replaceEngine(
            EngineChain chain,
            InstanceId failed,
            List<Endpoint> engines,
            Size size,
            Set<InstanceId> excluded) {
        List<Hop> before = new ArrayList<>();
        List<Hop> after = new ArrayList<>();
        LayerRange gap = null;
        for (Hop hop : chain.hops()) {
            if (hop.engine().id().equals(failed)) {
                gap = hop.range();
            } else {
                (gap == null ? before : after).add(hop);
            }
        }
        if (gap == null || before.isEmpty()) {
            return Optional.empty();
        }
        Set<InstanceId> unusable = new HashSet<>(excluded);
        chain.hops().forEach(hop -> unusable.add(hop.engine().id()));
        Endpoint previous = before.getLast().engine();
        Label start = new Label(gap.from(), previous, gap.from(), 0, null);
        Goal goal = new Goal(previous.zone(), gap.to(), size, e -> true);
        return search(candidates(engines, size, unusable), start, goal)
                .map(
                        found -> {
                            List<Hop> hops = new ArrayList<>(before);
                            hops.addAll(hops(found));
                            hops.addAll(after);
                            return new EngineChain(hops);
                        });
    }

    /**
     * Finds the shortest path. A vertex is a boundary between layers together with the zone of the
     * engine that reaches it; vertices are visited in the order of the layers.
     */
    private Optional<Label> search(List<Candidate> candidates, Label start, Goal goal) {
        int[] boundaries = boundaries(candidates, start.layer, goal.layer);
        Map<String, Label>[] best = emptyLabels(goal.layer);
        best[start.layer].put(goal.zone, start);
        for (int layer : boundaries) {
            for (Label label : best[layer].values()) {
                for (Candidate candidate : candidates) {
                    boolean covers = candidate.held.from() <= layer && candidate.held.to() > layer;
                    if (covers && mayFollow(candidate.engine, label, goal)) {
                        extend(label, candidate, boundaries, goal, best);
                    }
                }
            }
        }
        return best[goal.layer].values().stream().min(Comparator.comparingDouble(Label::cost));
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static Map<String, Label>[] emptyLabels(int lastLayer) {
        Map<String, Label>[] best = new Map[lastLayer + 1];
        Arrays.setAll(best, layer -> new HashMap<String, Label>(2));
        return best;
    }

    private static boolean mayFollow(Endpoint engine, Label label, Goal goal) {
        return label.engine == null ? goal.mayBeFirst.test(engine) : !label.uses(engine.id());
    }

    private void extend(
            Label label,
            Candidate candidate,
            int[] boundaries,
            Goal goal,
            Map<String, Label>[] best) {
        String zone = candidate.engine.zone();
        String previousZone = label.engine == null ? goal.zone : label.engine.zone();
        double baseCost = label.cost + goal.size.answerTokens() * HOP_MILLIS_PER_TOKEN;
        if (!previousZone.equals(zone)) {
            baseCost += crossingCost(goal.size);
        }
        int maxEnd = Math.min(candidate.held.to(), goal.layer);
        for (int end : boundaries) {
            if (end <= label.layer || end > maxEnd) {
                continue;
            }
            double cost = baseCost + (end - label.layer) * candidate.layerCost;
            Label known = best[end].get(zone);
            if (known == null || cost < known.cost) {
                best[end].put(zone, new Label(end, candidate.engine, label.layer, cost, label));
            }
        }
    }

    private List<Candidate> candidates(
            List<Endpoint> engines, Size size, Set<InstanceId> excluded) {
        return engines.stream()
                .filter(e -> e.layers().isPresent() && spec.kind(e.kind()).isPresent())
                .filter(e -> e.layers().stream().allMatch(spec::hasLayers))
                .filter(e -> !excluded.contains(e.id()))
                .map(e -> candidate(e, size))
                .filter(c -> load.ownTokens(c.engine.id()) + neededTokens(c, size) <= c.capacity)
                .toList();
    }

    /**
     * Keeps the engines of whose memory this node alone has not used up its maximum share. Most
     * callers may have come to this node, as after a failure of the other nodes.
     */
    private List<Candidate> withinNodeLimit(List<Candidate> candidates, Size size) {
        return candidates.stream()
                .filter(
                        c ->
                                MIN_NODES_PER_ENGINE * load.ownTokens(c.engine.id())
                                                + neededTokens(c, size)
                                        <= c.capacity)
                .toList();
    }

    /**
     * Returns the tokens of one layer that a request needs at an engine that runs all layers it
     * holds.
     */
    private static long neededTokens(Candidate candidate, Size size) {
        return size.tokens() * candidate.held.size();
    }

    private static int[] boundaries(List<Candidate> engines, int first, int last) {
        return IntStream.concat(
                        IntStream.of(first, last),
                        engines.stream()
                                .flatMapToInt(c -> IntStream.of(c.held.from(), c.held.to())))
                .filter(layer -> layer >= first && layer <= last)
                .sorted()
                .distinct()
                .toArray();
    }

    private Candidate candidate(Endpoint engine, Size size) {
        EngineKind kind = spec.kind(engine.kind()).orElseThrow();
        LayerRange held = engine.layers().orElseThrow();
        double capacity = spec.tokensThatFit(kind, held.size()) * held.size();
        double need = (double) size.tokens() * held.size();
        double use = load.estimateUse(engine.id(), capacity, need, nowNanos);
        double prefill = size.promptTokens() * MILLIS / spec.prefillTokensPerSecond();
        double decode = size.answerTokens() * spec.stepMillis();
        double chainCost =
                prefill * kind.prefillFactor()
                        + decode * kind.stepFactor()
                        + FULL_MEMORY_MILLIS * use;
        return new Candidate(engine, held, capacity, chainCost / spec.layers());
    }

    private double crossingCost(Size size) {
        double transfer = InterZoneBudget.transferMillis(size.promptTokens(), spec);
        return LINK_QUEUE_TRANSFERS * transfer + size.answerTokens() * HOP_MILLIS_PER_TOKEN;
    }

    private static List<Hop> hops(Label end) {
        List<Hop> hops = new ArrayList<>();
        for (Label label = end; label.previous != null; label = label.previous) {
            hops.addFirst(new Hop(label.engine, new LayerRange(label.from, label.layer)));
        }
        return hops;
    }
}
