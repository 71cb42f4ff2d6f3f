package hyssopturn.route;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.Instance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Finds the cheapest sequence of stages over a span of layers.
 *
 * <p>Vertices are the layers at which some holding begins or ends. The cost of a stage is linear in
 * its layers, so a path that changes engines between two vertices is never cheaper.
 */
final class LayeredGraph {
    /** Factor on the cost of engines that another path uses, so that paths share few engines. */
    private static final double SHARED_ENGINE_FACTOR = 1e6;

    private static final int MAX_DEPTH = 8;

    private final List<Holder> holders;
    private final LayerRange span;
    private final int[] cuts;
    private final int[][] holdersAtCut;

    /**
     * Layers that an engine holds and the cost of running them.
     *
     * @param engine the engine
     * @param held layers that the engine holds
     * @param cost cost of steps on the engine
     */
    record Holder(Instance engine, LayerRange held, EngineCost cost) {}

    /**
     * Stages over a span of layers.
     *
     * @param stages stages in order of layers
     * @param nanos sum of the predicted times of the stages, in nanoseconds
     */
    record Path(List<Chain.Stage> stages, double nanos) {}

    /** Last edge of the cheapest path to a vertex: index of the holder and of the start vertex. */
    private record Hop(int holder, int from) {}

    private record Leg(Holder holder, LayerRange layers) {}

    /** Two legs of a path on the same engine. */
    private record RepeatedEngine(Leg first, Leg second) {}

    /**
     * Builds the graph.
     *
     * @param holders holdings that may be used
     * @param span layers that the stages must cover
     */
    LayeredGraph(List<Holder> holders, LayerRange span) {
        this.holders = List.copyOf(holders);
        this.span = span;
        cuts = cuts(holders, span);
        holdersAtCut = Arrays.stream(cuts).mapToObj(this::holdersAt).toArray(int[][]::new);
    }

    private static int[] cuts(List<Holder> holders, LayerRange span) {
        IntStream.Builder all = IntStream.builder().add(span.from()).add(span.to());
        for (Holder holder : holders) {
            all.add(holder.held().from()).add(holder.held().to());
        }
        return all.build()
                .filter(c -> c >= span.from() && c <= span.to())
                .sorted()
                .distinct()
                .toArray();
    }

    private int[] holdersAt(int cut) {
        return IntStream.range(0, holders.size())
                .filter(h -> holders.get(h).held().from() <= cut)
                .filter(h -> cut < holders.get(h).held().to())
                .toArray();
    }

    /**
     * Finds the cheapest path that uses no engine more than once.
     *
     * @param tokens number of tokens of a step
     * @return the path, empty if the span is not covered
     */
    Optional<Path> best(int tokens) {
        return best(tokens, Set.of());
    }

    /**
     * Finds cheap paths that share engines only where no alternative exists.
     *
     * @param tokens number of tokens of a step
     * @param count maximum number of paths
     * @return the paths, cheapest first
     */
    List<Path> disjoint(int tokens, int count) {
        List<Path> found = new ArrayList<>();
        Set<InstanceId> used = new HashSet<>();
        while (found.size() < count) {
            Optional<Path> next = best(tokens, used);
            if (next.isEmpty() || !addAll(used, next.get())) {
                break;
            }
            found.add(next.get());
        }
        found.sort(Comparator.comparingDouble(Path::nanos));
        return found;
    }

    private static boolean addAll(Set<InstanceId> used, Path path) {
        boolean any = false;
        for (Chain.Stage stage : path.stages()) {
            any |= used.add(stage.engine().id());
        }
        return any;
    }

    private Optional<Path> best(int tokens, Set<InstanceId> penalized) {
        return cheapest(tokens, penalized, 0).map(hops -> path(hops, tokens));
    }

    private Optional<List<Leg>> cheapest(int tokens, Set<InstanceId> penalized, int depth) {
        List<Leg> legs = shortest(tokens, penalized);
        if (legs.isEmpty()) {
            return Optional.empty();
        }
        Optional<RepeatedEngine> repeated = repeatedEngine(legs);
        if (repeated.isEmpty()) {
            return Optional.of(legs);
        }
        if (depth == MAX_DEPTH) {
            return Optional.empty();
        }
        return holdersWithout(repeated.get()).stream()
                .map(rest -> new LayeredGraph(rest, span))
                .flatMap(graph -> graph.cheapest(tokens, penalized, depth + 1).stream())
                .min(Comparator.comparingDouble(found -> weight(found, tokens, penalized)));
    }

    private static double weight(List<Leg> legs, int tokens, Set<InstanceId> penalized) {
        double sum = 0;
        for (Leg leg : legs) {
            double factor =
                    penalized.contains(leg.holder().engine().id()) ? SHARED_ENGINE_FACTOR : 1;
            sum += factor * leg.holder().cost().nanos(leg.layers().size(), tokens);
        }
        return sum;
    }

    /** Returns the first two legs that use the same engine, empty if no engine repeats. */
    private static Optional<RepeatedEngine> repeatedEngine(List<Leg> legs) {
        Map<InstanceId, Leg> seen = new HashMap<>();
        for (Leg leg : legs) {
            Leg before = seen.putIfAbsent(leg.holder().engine().id(), leg);
            if (before != null) {
                return Optional.of(new RepeatedEngine(before, leg));
            }
        }
        return Optional.empty();
    }

    /** Returns subsets of the holders that each rule out this repeated use of one engine. */
    private List<List<Holder>> holdersWithout(RepeatedEngine repeated) {
        Holder first = repeated.first().holder();
        Holder second = repeated.second().holder();
        int gapFrom = repeated.first().layers().to();
        int gapTo = repeated.second().layers().from();
        if (!first.equals(second)) {
            return List.of(replaced(first, List.of()), replaced(second, List.of()));
        }
        return List.of(
                replaced(first, clipped(first, 0, gapTo)),
                replaced(first, clipped(first, gapFrom, span.to())),
                reservedFor(first, gapFrom, gapTo));
    }

    private List<Holder> replaced(Holder old, List<Holder> replacement) {
        List<Holder> rest = new ArrayList<>(holders);
        rest.remove(old);
        rest.addAll(replacement);
        return rest;
    }

    /** Returns the holders with the layers from {@code from} to {@code to} left to one of them. */
    private List<Holder> reservedFor(Holder only, int from, int to) {
        List<Holder> rest = new ArrayList<>();
        for (Holder holder : holders) {
            if (holder.equals(only)) {
                rest.add(holder);
            } else {
                rest.addAll(clipped(holder, 0, from));
                rest.addAll(clipped(holder, to, span.to()));
            }
        }
        return rest;
    }

    private static List<Holder> clipped(Holder holder, int from, int to) {
        int low = Math.max(from, holder.held().from());
        int high = Math.min(to, holder.held().to());
        return low < high
                ? List.of(new Holder(holder.engine(), new LayerRange(low, high), holder.cost()))
                : List.of();
    }

    private List<Leg> shortest(int tokens, Set<InstanceId> penalized) {
        double[] factors = new double[holders.size()];
        Arrays.setAll(
                factors,
                h -> penalized.contains(holders.get(h).engine().id()) ? SHARED_ENGINE_FACTOR : 1);
        double[] nanos = new double[cuts.length];
        Arrays.fill(nanos, Double.POSITIVE_INFINITY);
        nanos[0] = 0;
        Hop[] last = new Hop[cuts.length];
        for (int from = 0; from < cuts.length - 1; from++) {
            if (nanos[from] < Double.POSITIVE_INFINITY) {
                for (int h : holdersAtCut[from]) {
                    relax(h, from, tokens, factors[h], nanos, last);
                }
            }
        }
        return backtrack(last);
    }

    private void relax(int h, int from, int tokens, double factor, double[] nanos, Hop[] last) {
        Holder holder = holders.get(h);
        for (int to = from + 1; to < cuts.length && cuts[to] <= holder.held().to(); to++) {
            double stage = holder.cost().nanos(cuts[to] - cuts[from], tokens);
            double reached = nanos[from] + factor * stage;
            if (reached < nanos[to]) {
                nanos[to] = reached;
                last[to] = new Hop(h, from);
            }
        }
    }

    private List<Leg> backtrack(Hop[] last) {
        List<Leg> legs = new ArrayList<>();
        int vertex = cuts.length - 1;
        while (vertex > 0) {
            Hop hop = last[vertex];
            if (hop == null) {
                return List.of();
            }
            Holder holder = holders.get(hop.holder());
            int to = cuts[vertex];
            if (!legs.isEmpty() && legs.getFirst().holder().equals(holder)) {
                to = legs.removeFirst().layers().to();
            }
            legs.addFirst(new Leg(holder, new LayerRange(cuts[hop.from()], to)));
            vertex = hop.from();
        }
        return legs;
    }

    private static Path path(List<Leg> legs, int tokens) {
        List<Chain.Stage> stages =
                legs.stream()
                        .map(leg -> new Chain.Stage(leg.holder().engine(), leg.layers()))
                        .toList();
        return new Path(stages, weight(legs, tokens, Set.of()));
    }
}
