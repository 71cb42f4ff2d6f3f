package hyssopturn.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.Zone;
import hyssopturn.port.Instance;
import hyssopturn.route.LayeredGraph.Holder;
import hyssopturn.route.LayeredGraph.Path;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

class LayeredGraphTest {
    private static final int LAYERS = 6;
    private static final LayerRange SPAN = new LayerRange(0, LAYERS);
    private static final double TOLERANCE = 1e-6;

    @Property(seed = "7", tries = 400)
    void bestPathMatchesExhaustiveSearch(@ForAll("holders") List<Holder> holders) {
        double least = least(holders, 0, Set.of(), 1);
        Optional<Path> best = new LayeredGraph(holders, SPAN).best(1);
        assertThat(best.isPresent(), is(least < Double.POSITIVE_INFINITY));
        best.ifPresent(
                path -> {
                    assertThat(path.nanos(), closeTo(least, least * TOLERANCE));
                    assertCovers(path);
                });
    }

    @Property(seed = "8", tries = 200)
    void disjointPathsCoverTheSpanCheapestFirst(@ForAll("holders") List<Holder> holders) {
        List<Path> paths = new LayeredGraph(holders, SPAN).disjoint(32, 4);
        double before = 0;
        for (Path path : paths) {
            assertCovers(path);
            assertThat(path.nanos(), greaterThanOrEqualTo(before));
            before = path.nanos();
        }
    }

    private static void assertCovers(Path path) {
        int layer = 0;
        Set<InstanceId> engines = new HashSet<>();
        for (Chain.Stage stage : path.stages()) {
            assertThat(stage.layers().from(), is(layer));
            assertThat(engines.add(stage.engine().id()), is(true));
            layer = stage.layers().to();
        }
        assertThat(layer, is(LAYERS));
    }

    /**
     * Finds the least cost by exhaustive search over every engine and every range of layers, not
     * only ranges that end where a holding begins or ends.
     */
    private static double least(List<Holder> holders, int from, Set<InstanceId> used, int tokens) {
        if (from == LAYERS) {
            return 0;
        }
        double least = Double.POSITIVE_INFINITY;
        for (Holder holder : holders) {
            boolean unused = !used.contains(holder.engine().id());
            if (unused && holder.held().from() <= from && from < holder.held().to()) {
                Set<InstanceId> nextUsed = new HashSet<>(used);
                nextUsed.add(holder.engine().id());
                for (int to = from + 1; to <= holder.held().to(); to++) {
                    double stage = holder.cost().nanos(to - from, tokens);
                    least = Math.min(least, stage + least(holders, to, nextUsed, tokens));
                }
            }
        }
        return least;
    }

    @Provide
    Arbitrary<List<Holder>> holders() {
        Arbitrary<Holder> holder =
                Combinators.combine(
                                Arbitraries.integers().between(0, 4),
                                Arbitraries.integers().between(0, LAYERS - 1),
                                Arbitraries.integers().between(1, LAYERS),
                                Arbitraries.integers().between(0, 100),
                                Arbitraries.integers().between(1, 50))
                        .as(LayeredGraphTest::holder);
        return holder.list().ofMinSize(1).ofMaxSize(6);
    }

    private static Holder holder(int engine, int from, int size, int link, int layer) {
        LayerRange held = new LayerRange(from, Math.min(LAYERS, from + size));
        EngineCost cost = new EngineCost(link, 0.5, 3, layer, 0.1);
        return new Holder(engine(engine), held, cost);
    }

    private static Instance engine(int number) {
        return new Instance(
                new InstanceId("engine-" + number),
                1,
                new Instance.Role.Engine("a10", 1, false),
                new Address("127.0.0.1", 1 + number),
                new Zone("local", "a"),
                false);
    }
}
