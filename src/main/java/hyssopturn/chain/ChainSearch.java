package hyssopturn.chain;

import hyssopturn.catalog.EngineKind;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Finds the chain that is predicted to answer soonest under the load that the node knows of.
 *
 * <p>Shortest path over pairs of a layer and the engine that ran the one before it. An engine may
 * run a part of the layers that it holds, so a chain may change engines at any boundary of a held
 * range. Crossing between zones costs the transfer of the prompt's activations over the pipe that
 * all crossing requests share. Nodes see only their own load, and those of a zone together can fill
 * its engines evenly only if they keep to them. If the own zone's engines do not hold every layer
 * or have no memory left, those of another zone serve as far as they have room beside their own
 * callers, for the pipes cannot carry the prompts of a whole zone; chains over several zones take
 * the rest. Answers days on which a zone loses engines.
 */
public final class ChainSearch {
    /** Time that each hop adds to each token for the message to it, in milliseconds. */
    private static final double HOP_MILLIS = 0.25;

    /** How many transfers of prompts a request is taken to wait for at a pipe, itself included. */
    private static final double PIPE_QUEUE = 4;

    /**
     * How many nodes an engine's memory must at least be enough for. With one node filling all of
     * it, the requests of the others would be preempted.
     */
    private static final long LEAST_SHARERS = 2;

    private static final double MILLIS = 1_000;
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1_000_000;

    private final EngineSpec spec;
    private final EngineLoad load;

    /**
     * Creates a search.
     *
     * @param spec how the engines behave
     * @param load what this node has at them
     */
    public ChainSearch(EngineSpec spec, EngineLoad load) {
        this.spec = spec;
        this.load = load;
    }

    /**
     * Size of the request that a chain is wanted for.
     *
     * @param promptTokens tokens to read
     * @param answerTokens greatest number of tokens to write
     */
    public record Size(long promptTokens, long answerTokens) {
        /**
         * Counts the tokens that the request may hold at an engine.
         *
         * @return number of tokens
         */
        public long tokens() {
            return promptTokens + answerTokens;
        }
    }

    private record Label(int layer, Endpoint last, int start, double cost, Label before) {
        boolean uses(InstanceId id) {
            return last != null && (last.id().equals(id) || (before != null && before.uses(id)));
        }
    }

    private record Vertex(int layer, InstanceId last) {}

    /**
     * Finds the cheapest chain.
     *
     * @param engines engines that may be used
     * @param zone availability zone of this node
     * @param size size of the request
     * @param excluded engines that must not be used
     * @param mayBegin which engines may come first
     * @return the chain, empty if the engines do not hold every layer or have no memory left
     */
    public Optional<EngineChain> cheapest(
            List<Endpoint> engines,
            String zone,
            Size size,
            Set<InstanceId> excluded,
            Predicate<Endpoint> mayBegin) {
        List<Endpoint> candidates = candidates(engines, size, excluded);
        Goal goal = new Goal(zone, spec.layers(), size, mayBegin);
        return cheapest(candidates, goal)
                .or(() -> cheapest(withinGreatestShare(engines, size, excluded), goal))
                .map(end -> new EngineChain(hops(end)));
    }

    private Optional<Label> cheapest(List<Endpoint> candidates, Goal goal) {
        Map<String, List<Endpoint>> zones =
                candidates.stream().collect(Collectors.groupingBy(Endpoint::zone));
        Label start = new Label(0, null, 0, 0, null);
        return search(zones.getOrDefault(goal.zone, List.of()), start, goal)
                .or(() -> cheapestZone(zones, start, goal))
                .or(() -> search(candidates, start, goal));
    }

    /** Another zone serves its own callers first, so it is used only as far as it has room. */
    private Optional<Label> cheapestZone(
            Map<String, List<Endpoint>> zones, Label start, Goal goal) {
        return zones.entrySet().stream()
                .filter(zone -> !zone.getKey().equals(goal.zone))
                .map(zone -> zone.getValue().stream().filter(e -> hasSpareRoom(e, goal.size)))
                .flatMap(engines -> search(engines.toList(), start, goal).stream())
                .min(Comparator.comparingDouble(Label::cost));
    }

    /**
     * Finds engines for the layers of one that failed; the other engines of the chain stay.
     *
     * @param chain the chain
     * @param lost engine that failed; not the first one of the chain
     * @param engines engines that may be used
     * @param size size of the request
     * @param excluded engines that must not be used
     * @return the chain with other engines in the place of the lost one, empty if there are none
     */
    public Optional<EngineChain> around(
            EngineChain chain,
            InstanceId lost,
            List<Endpoint> engines,
            Size size,
            Set<InstanceId> excluded) {
        List<Hop> before = new ArrayList<>();
        List<Hop> after = new ArrayList<>();
        LayerRange gap = null;
        for (Hop hop : chain.hops()) {
            if (hop.engine().id().equals(lost)) {
                gap = hop.range();
            } else {
                (gap == null ? before : after).add(hop);
            }
        }
        if (gap == null || before.isEmpty()) {
            return Optional.empty();
        }
        Set<InstanceId> barred = new HashSet<>(excluded);
        chain.hops().forEach(hop -> barred.add(hop.engine().id()));
        Endpoint previous = before.getLast().engine();
        Label start = new Label(gap.from(), previous, gap.from(), 0, null);
        Goal goal = new Goal(previous.zone(), gap.to(), size, e -> true);
        return search(candidates(engines, size, barred), start, goal)
                .map(
                        found -> {
                            List<Hop> hops = new ArrayList<>(before);
                            hops.addAll(hops(found));
                            hops.addAll(after);
                            return new EngineChain(hops);
                        });
    }

    private record Goal(String zone, int layer, Size size, Predicate<Endpoint> mayBegin) {}

    private Optional<Label> search(List<Endpoint> candidates, Label start, Goal goal) {
        NavigableSet<Integer> boundaries = boundaries(candidates, goal.layer);
        Map<Vertex, Double> settled = new HashMap<>();
        PriorityQueue<Label> open = new PriorityQueue<>((a, b) -> Double.compare(a.cost, b.cost));
        open.add(start);
        while (!open.isEmpty()) {
            Label label = open.poll();
            if (label.layer == goal.layer) {
                return Optional.of(label);
            }
            InstanceId last = label.last == null ? null : label.last.id();
            if (settled.putIfAbsent(new Vertex(label.layer, last), label.cost) == null) {
                List<Endpoint> next =
                        last == null
                                ? candidates.stream().filter(goal.mayBegin).toList()
                                : candidates;
                extend(label, next, boundaries, goal, open);
            }
        }
        return Optional.empty();
    }

    private List<Endpoint> candidates(List<Endpoint> engines, Size size, Set<InstanceId> excluded) {
        return fit(engines, excluded).filter(e -> hasRoom(e, size)).toList();
    }

    /**
     * Lists the engines of which this node alone has not filled its greatest share. The callers may
     * mostly have come to this node, as after a failure of the others.
     */
    private List<Endpoint> withinGreatestShare(
            List<Endpoint> engines, Size size, Set<InstanceId> excluded) {
        return fit(engines, excluded)
                .filter(e -> LEAST_SHARERS * load.ownTokens(e.id()) + size.tokens() <= capacity(e))
                .toList();
    }

    private Stream<Endpoint> fit(List<Endpoint> engines, Set<InstanceId> excluded) {
        return engines.stream()
                .filter(e -> e.layers().isPresent() && spec.kind(e.kind()).isPresent())
                .filter(e -> !excluded.contains(e.id()));
    }

    private boolean hasRoom(Endpoint engine, Size size) {
        return load.tokens(engine.id()) + size.tokens() <= capacity(engine);
    }

    private boolean hasSpareRoom(Endpoint engine, Size size) {
        return load.tokensAsVisitor(engine.id()) + size.tokens() <= capacity(engine);
    }

    private double capacity(Endpoint engine) {
        EngineKind kind = spec.kind(engine.kind()).orElseThrow();
        return spec.tokensBeside(kind, engine.layers().orElseThrow().size());
    }

    private NavigableSet<Integer> boundaries(List<Endpoint> engines, int goal) {
        NavigableSet<Integer> boundaries = new TreeSet<>(Set.of(goal));
        for (Endpoint engine : engines) {
            boundaries.add(engine.layers().orElseThrow().from());
            boundaries.add(engine.layers().orElseThrow().to());
        }
        return boundaries;
    }

    private void extend(
            Label label,
            List<Endpoint> engines,
            NavigableSet<Integer> boundaries,
            Goal goal,
            PriorityQueue<Label> open) {
        String from = label.last == null ? goal.zone : label.last.zone();
        for (Endpoint engine : engines) {
            LayerRange held = engine.layers().orElseThrow();
            if (held.from() > label.layer || held.to() <= label.layer || label.uses(engine.id())) {
                continue;
            }
            int most = Math.min(held.to(), goal.layer);
            for (int end : boundaries.subSet(label.layer, false, most, true)) {
                double cost = label.cost + hopCost(engine, end - label.layer, goal.size);
                if (!from.equals(engine.zone())) {
                    cost += crossingCost(goal.size);
                }
                open.add(new Label(end, engine, label.layer, cost, label));
            }
        }
    }

    private double hopCost(Endpoint engine, int layers, Size size) {
        EngineKind kind = spec.kind(engine.kind()).orElseThrow();
        double share = (double) layers / spec.layers();
        double others = load.requests(engine.id());
        double context = load.tokens(engine.id()) / MILLIS;
        double step =
                spec.stepMillis()
                        + others * spec.perRequestMillis()
                        + context * spec.contextMillis();
        double read = size.promptTokens() * MILLIS / spec.readTokensPerSecond();
        return share * read * kind.readFactor()
                + size.answerTokens() * (share * step * kind.stepFactor() + HOP_MILLIS);
    }

    private double crossingCost(Size size) {
        double prompt = size.promptTokens() * spec.activationBytes() * BITS_PER_BYTE;
        double transfer = prompt / (spec.pipeMbps() * BITS_PER_MEGABIT) * MILLIS;
        return PIPE_QUEUE * transfer + size.answerTokens() * HOP_MILLIS;
    }

    private static List<Hop> hops(Label end) {
        List<Hop> hops = new ArrayList<>();
        for (Label label = end; label.before != null; label = label.before) {
            hops.addFirst(new Hop(label.last, new LayerRange(label.start, label.layer)));
        }
        return hops;
    }
}
