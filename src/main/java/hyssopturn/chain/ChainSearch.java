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
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Finds the chain that is predicted to answer soonest without filling some engines while others
 * have room.
 *
 * <p>Engines' memory binds long before their speed does, so the part of it that is in use counts
 * most; among engines that are used alike the fast ones come first. An engine may run a part of the
 * layers that it holds, so a chain may change engines at any boundary of a held range. Crossing
 * between zones costs the transfer of the prompt's activations over the pipe that all crossing
 * requests share, which cannot carry the prompts of a whole zone. So the own zone comes first. If
 * it lacks a layer or is full, another zone is visited, drawn by the room that it has beside as
 * many callers as the own one's; chains over several zones take what is left. Answers days on which
 * a zone loses engines, and any number of nodes that choose without hearing of each other.
 */
public final class ChainSearch {
    /**
     * Time that each hop adds to each token: the message, and the wait for the engine's next pass.
     */
    private static final double HOP_MILLIS = 1;

    /** How many transfers of prompts a request is taken to wait for at a pipe, itself included. */
    private static final double PIPE_QUEUE = 4;

    /** What a chain of engines whose memory is full costs more than one of unused engines. */
    private static final double FULL_MILLIS = 10_000;

    /**
     * How many nodes an engine's memory must at least be enough for. With one node filling all of
     * it, the requests of the others would be preempted.
     */
    private static final long LEAST_SHARERS = 2;

    private static final double MILLIS = 1_000;

    private final EngineSpec spec;
    private final EngineLoad load;
    private final RandomGenerator random;
    private final long nowNanos;

    /**
     * Creates a search.
     *
     * @param spec how the engines behave
     * @param load what this node has at them
     * @param random chooses among zones that may be visited
     * @param nowNanos time now
     */
    public ChainSearch(EngineSpec spec, EngineLoad load, RandomGenerator random, long nowNanos) {
        this.spec = spec;
        this.load = load;
        this.random = random;
        this.nowNanos = nowNanos;
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

    /** An engine with its memory, in tokens of one layer, and what it costs to run a layer. */
    private record Candidate(Endpoint engine, LayerRange held, double room, double layerCost) {}

    private record Label(int layer, Endpoint last, int start, double cost, Label before) {
        boolean uses(InstanceId id) {
            return last != null && (last.id().equals(id) || (before != null && before.uses(id)));
        }
    }

    private record Goal(String zone, int layer, Size size, Predicate<Endpoint> mayBegin) {}

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
        List<Candidate> candidates = candidates(engines, size, excluded);
        Map<String, List<Candidate>> zones =
                candidates.stream().collect(Collectors.groupingBy(c -> c.engine.zone()));
        Goal goal = new Goal(zone, spec.layers(), size, mayBegin);
        Label start = new Label(0, null, 0, 0, null);
        List<Candidate> own = zones.getOrDefault(zone, List.of());
        return searchUnlessFull(own, start, goal)
                .or(() -> visit(zones, start, goal))
                .or(() -> search(withinGreatestShare(own, size), start, goal))
                .or(() -> search(withinGreatestShare(candidates, size), start, goal))
                .map(end -> new EngineChain(hops(end)));
    }

    /**
     * Draws another zone by its room beside its own callers, which are taken to be as many as those
     * of this node's zone. If all nodes took the roomiest, they would fill it together.
     */
    private Optional<Label> visit(Map<String, List<Candidate>> zones, Label start, Goal goal) {
        return zones.entrySet().stream()
                .filter(zone -> !zone.getKey().equals(goal.zone))
                .map(Map.Entry::getValue)
                .filter(engines -> hasSpareRoom(engines, goal.size))
                .map(engines -> new Visit(engines, draw(engines)))
                .sorted(Comparator.comparingDouble(Visit::drawn))
                .flatMap(visit -> search(visit.engines, start, goal).stream())
                .findFirst();
    }

    private Optional<Label> searchUnlessFull(List<Candidate> engines, Label start, Goal goal) {
        return hasSpareRoom(engines, goal.size) ? search(engines, start, goal) : Optional.empty();
    }

    private boolean hasSpareRoom(List<Candidate> engines, Size size) {
        return spareTokens(engines) >= size.tokens();
    }

    private record Visit(List<Candidate> engines, double drawn) {}

    /** Exponential times of which the first is each one's with a chance by its rate. */
    private double draw(List<Candidate> engines) {
        return -Math.log(1 - random.nextDouble()) / spareTokens(engines);
    }

    /** Tokens that the layer with least memory has room for beside a zone's callers. */
    private double spareTokens(List<Candidate> engines) {
        double[] room = new double[spec.layers()];
        for (Candidate c : engines) {
            for (int layer = c.held.from(); layer < Math.min(c.held.to(), room.length); layer++) {
                room[layer] += c.room / c.held.size();
            }
        }
        return Arrays.stream(room).min().orElse(0) - load.zoneTokens();
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

    /**
     * Shortest path over pairs of a boundary between layers and the zone that it is reached in, in
     * the order of the layers.
     */
    private Optional<Label> search(List<Candidate> candidates, Label start, Goal goal) {
        int[] boundaries = boundaries(candidates, start.layer, goal.layer);
        Map<String, Label>[] best = reached(goal.layer);
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
    private static Map<String, Label>[] reached(int last) {
        Map<String, Label>[] best = new Map[last + 1];
        Arrays.setAll(best, layer -> new HashMap<String, Label>(2));
        return best;
    }

    private static boolean mayFollow(Endpoint engine, Label label, Goal goal) {
        return label.last == null ? goal.mayBegin.test(engine) : !label.uses(engine.id());
    }

    private void extend(
            Label label,
            Candidate candidate,
            int[] boundaries,
            Goal goal,
            Map<String, Label>[] best) {
        String zone = candidate.engine.zone();
        String from = label.last == null ? goal.zone : label.last.zone();
        double begun = label.cost + goal.size.answerTokens() * HOP_MILLIS;
        if (!from.equals(zone)) {
            begun += crossingCost(goal.size);
        }
        int most = Math.min(candidate.held.to(), goal.layer);
        for (int end : boundaries) {
            if (end <= label.layer || end > most) {
                continue;
            }
            double cost = begun + (end - label.layer) * candidate.layerCost;
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
                .filter(e -> !excluded.contains(e.id()))
                .map(e -> candidate(e, size))
                .filter(c -> load.ownTokens(c.engine.id()) + need(c, size) <= c.room)
                .toList();
    }

    /**
     * Lists the engines of which this node alone has not filled its greatest share. The callers may
     * mostly have come to this node, as after a failure of the others.
     */
    private List<Candidate> withinGreatestShare(List<Candidate> candidates, Size size) {
        return candidates.stream()
                .filter(
                        c ->
                                LEAST_SHARERS * load.ownTokens(c.engine.id()) + need(c, size)
                                        <= c.room)
                .toList();
    }

    /** Tokens of one layer that a request holds at an engine which runs all that it holds. */
    private static long need(Candidate candidate, Size size) {
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
        double room = spec.tokensBeside(kind, held.size()) * held.size();
        double need = (double) size.tokens() * held.size();
        double use = load.use(engine.id(), room, need, nowNanos);
        double read = size.promptTokens() * MILLIS / spec.readTokensPerSecond();
        double write = size.answerTokens() * spec.stepMillis();
        double chain = read * kind.readFactor() + write * kind.stepFactor() + FULL_MILLIS * use;
        return new Candidate(engine, held, room, chain / spec.layers());
    }

    private double crossingCost(Size size) {
        double transfer = PipeShare.transferMillis(size.promptTokens(), spec);
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
