package hyssopturn.chain;

import hyssopturn.fleet.Endpoint;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Measures the time to choose a chain and to plan the placement of layers. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ChainBenchmark {
    private static final String[] KINDS = {Engines.LARGE, Engines.MEDIUM, Engines.SMALL};

    @Param({"38", "150", "600"})
    private int engines;

    private List<Endpoint> empty;
    private List<Endpoint> placed;

    /** Creates engines in three or four zones and places layers on them. */
    @Setup
    public void place() {
        empty = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            String zone = "z" + (engines < 100 ? i % 3 : i % 4);
            empty.add(Engines.empty("e" + i, zone, KINDS[i % KINDS.length]));
        }
        Map<Endpoint, Endpoint> now = new HashMap<>();
        for (LayerPlanner.Assignment a : new LayerPlanner(Engines.SPEC).plan(empty)) {
            now.put(a.engine(), a.engine().withLayers(a.range()));
        }
        placed = empty.stream().map(e -> now.getOrDefault(e, e)).toList();
    }

    @Benchmark
    public Optional<EngineChain> choose() {
        SplittableRandom random = new SplittableRandom(1);
        ChainSearch search = new ChainSearch(Engines.SPEC, new EngineLoad(random, 3), random, 0);
        return search.cheapest(placed, "z0", new ChainSearch.Size(800, 154), Set.of(), e -> true);
    }

    @Benchmark
    public List<LayerPlanner.Assignment> planEmptyEngines() {
        return new LayerPlanner(Engines.SPEC).plan(empty);
    }

    @Benchmark
    public List<LayerPlanner.Assignment> planPlacedEngines() {
        return new LayerPlanner(Engines.SPEC).plan(placed);
    }
}
