package hyssopturn.route;

import hyssopturn.member.View;
import hyssopturn.member.View.EngineView;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Target;
import hyssopturn.model.Zone;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;
import hyssopturn.port.Instance;
import hyssopturn.standin.VirtualClock;

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

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Measures the time to choose a chain from the cache, and after one engine changed. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RouteBenchmark {
    private static final int MODELS = 3;
    private static final int LAYERS = 48;
    private static final int[] CUTS = {0, 8, 12, 16, 24, 32, 36, 40, 48};
    private static final Duration REFRESH = Duration.ofMillis(60);
    private static final Target.Stream TARGET =
            new Target.Stream(Duration.ofMillis(480), Duration.ofMillis(50));

    /** Number of engines. */
    @Param({"40", "200", "600"})
    public int engines;

    private final SplittableRandom random = new SplittableRandom(1);
    private final List<View> views = new ArrayList<>();
    private VirtualClock clock;
    private BestRoutes routes;
    private int turn;

    /** Creates the benchmark. */
    public RouteBenchmark() {}

    /** Creates two views that differ by one engine. */
    @Setup
    public void prepare() {
        clock = new VirtualClock(0);
        routes = new BestRoutes(new ObservedCosts(clock), clock, random);
        List<EngineView> all = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            all.add(engine(i));
        }
        views.add(new View(List.of(), all, List.of()));
        views.add(new View(List.of(), all.subList(0, engines - 1), List.of()));
    }

    private EngineView engine(int number) {
        int from = random.nextInt(CUTS.length - 1);
        int to = Math.min(CUTS.length - 1, from + 1 + random.nextInt(3));
        LayerRange layers = new LayerRange(CUTS[from], CUTS[to]);
        Holding holding = new Holding(model(number % MODELS).id(), layers, List.of(), Phase.BOTH);
        double step = 2 + random.nextInt(20);
        EngineReport report =
                new EngineReport(List.of(holding), List.of(), 4, 0, 1 << 20, step, false, 1);
        Instance instance =
                new Instance(
                        new InstanceId("engine-" + number),
                        1,
                        new Instance.Role.Engine("a10", 1, false),
                        new Address("10.0.0.1", 1 + number),
                        new Zone("local", "a"),
                        false);
        return new EngineView(instance, report);
    }

    private static ModelSpec model(int number) {
        return new ModelSpec(new ModelId("model-" + number, "1"), LAYERS, 1);
    }

    private Optional<Chain> choose(View view) {
        long prefix = random.nextInt(10_000);
        return routes.choose(
                new ChainChooser.Query(model((int) (prefix % MODELS)), 64, prefix, TARGET), view);
    }

    /**
     * Chooses from cached chains.
     *
     * @return the chain
     */
    @Benchmark
    public Optional<Chain> fromCache() {
        return choose(views.getFirst());
    }

    /**
     * Chooses after one engine was added or removed.
     *
     * @return the chain
     */
    @Benchmark
    public Optional<Chain> afterOneChange() {
        clock.advance(REFRESH);
        turn = 1 - turn;
        return choose(views.get(turn));
    }
}
