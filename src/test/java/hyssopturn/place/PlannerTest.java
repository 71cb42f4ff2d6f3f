package hyssopturn.place;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Zone;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

class PlannerTest {
    private final Planner planner = new Planner(Links.BY_DISTANCE);

    /** Returns the engines with the holdings that the plan assigns to them. */
    private static List<Worker> applied(List<Worker> workers, Plan plan) {
        return workers.stream()
                .map(w -> with(w, plan.desired().getOrDefault(w.id(), List.of())))
                .toList();
    }

    static Worker with(Worker worker, List<Holding> held) {
        return new Worker(
                worker.id(),
                worker.zone(),
                worker.memoryBytes(),
                worker.layerMillis(),
                held,
                List.of(),
                worker.busy());
    }

    @Provide
    Arbitrary<Fleet.Accelerator> accelerator() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, 80),
                        Arbitraries.doubles().between(0.1, 2))
                .as(Fleet.Accelerator::new);
    }

    private static List<Worker> workers(List<Fleet.Accelerator> accelerators) {
        List<Worker> workers = new ArrayList<>();
        List<Worker> templates = Fleet.mixed(accelerators.size(), "town", "a", "b", "c");
        for (int i = 0; i < accelerators.size(); i++) {
            Worker template = templates.get(i);
            Fleet.Accelerator accelerator = accelerators.get(i);
            workers.add(
                    new Worker(
                            template.id(),
                            template.zone(),
                            accelerator.gib() * Fleet.GIB,
                            accelerator.layerMillis(),
                            List.of(),
                            List.of(),
                            false));
        }
        return workers;
    }

    @Property(seed = "71", tries = 60)
    void plansFitMemoryAndAreStable(
            @ForAll @Size(min = 1, max = 24)
                    List<Fleet.@From("accelerator") Accelerator> accelerators,
            @ForAll @IntRange(min = 1, max = 40) int layers) {
        List<Worker> workers = workers(accelerators);
        List<Demand> demands = List.of(Fleet.demand("m", layers, 512, 1, 50));
        Plan plan = planner.plan(demands, workers);
        for (Worker worker : workers) {
            long bytes =
                    plan.desired().getOrDefault(worker.id(), List.of()).stream()
                            .mapToLong(h -> (512L << 20) * h.layers().size())
                            .sum();
            assertThat(bytes, lessThanOrEqualTo(worker.memoryBytes()));
        }
        assertThat("plan for the same input", planner.plan(demands, workers), is(plan));
        assertThat(
                "plan once the engines follow it",
                planner.plan(demands, applied(workers, plan)),
                is(plan));
    }

    @Property(seed = "72", tries = 60)
    void everyLayerHasHoldersInTwoZonesIfMemoryAllows(
            @ForAll @Size(min = 6, max = 24)
                    List<Fleet.@From("accelerator") Accelerator> accelerators) {
        int layers = 12;
        List<Fleet.Accelerator> sufficient =
                accelerators.stream()
                        .map(a -> new Fleet.Accelerator(6 + a.gib(), a.layerMillis()))
                        .toList();
        List<Demand> demands = List.of(Fleet.demand("m", layers, 512, 1, 50));
        List<Worker> workers = workers(sufficient);
        Plan plan = planner.plan(demands, workers);
        Score score = Prediction.of(demands, workers, plan, Links.BY_DISTANCE).score();
        assertThat(score.uncovered(), is(0));
        assertThat(score.singleZone(), is(0));
    }

    @Test
    void beatsTheEvenSplitOnMixedAcceleratorsOfBothSites() {
        compare(Fleet.workshopDemand(), Fleet.workshop());
        compare(Fleet.havenDemand(), Fleet.haven());
        compare(Fleet.townDemand(), Fleet.workshop());
    }

    private void compare(List<Demand> demands, List<Worker> workers) {
        Prediction planned =
                Prediction.of(demands, workers, planner.plan(demands, workers), Links.BY_DISTANCE);
        Prediction even =
                Prediction.of(
                        demands, workers, EvenSplit.plan(demands, workers), Links.BY_DISTANCE);
        assertThat(planned.score().uncovered(), is(0));
        assertThat(planned.score().singleZone(), is(0));
        assertThat(planned.minRate(), greaterThan(even.minRate()));
        assertThat(planned.tokensPerSecond(), greaterThanOrEqualTo(even.tokensPerSecond()));
    }

    @Test
    void keepsTheHoldingsOfAWellPlacedFleet() {
        List<Demand> demands = List.of(Fleet.demand("atelier", 12, 64, 1, 50));
        ModelId model = new ModelId("atelier", "1");
        List<Worker> workers = new ArrayList<>();
        for (Worker worker : Fleet.mixed(6, "chimaltenango", "bench", "pack", "office")) {
            int stage = workers.size() / 2;
            LayerRange range = new LayerRange(stage * 4, stage * 4 + 4);
            Holding holding = new Holding(model, range, List.of(), Phase.BOTH);
            Worker uniform =
                    new Worker(
                            worker.id(),
                            worker.zone(),
                            8 * Fleet.GIB,
                            0.5,
                            List.of(),
                            List.of(),
                            false);
            workers.add(with(uniform, List.of(holding)));
        }
        Plan plan = planner.plan(demands, workers);
        workers.forEach(w -> assertThat(plan.desired().get(w.id()), is(w.held())));
    }

    @Test
    void prefersFewerStagesOverSlowLinks() {
        List<Worker> workers = Fleet.mixed(8, "town", "a", "b");
        List<Demand> demands = List.of(Fleet.demand("m", 16, 512, 1, 20));
        Planner slowLinks = new Planner((from, to) -> 8);
        Planner fastLinks = new Planner((from, to) -> 0);
        assertThat(
                stages(slowLinks.plan(demands, workers)),
                lessThanOrEqualTo(stages(fastLinks.plan(demands, workers))));
        Prediction prediction =
                Prediction.of(demands, workers, slowLinks.plan(demands, workers), (from, to) -> 8);
        assertThat(prediction.tokenMillis(), lessThanOrEqualTo(20.0));
    }

    private static long stages(Plan plan) {
        return plan.desired().values().stream().map(h -> h.getFirst().layers()).distinct().count();
    }

    @Test
    void modelThatFitsNoEngineGetsNoHolders() {
        ModelSpec huge = new ModelSpec(new ModelId("huge", "1"), 10, 100 * Fleet.GIB);
        Demand demand = new Demand(huge, 1, java.time.Duration.ofMillis(50));
        List<Worker> workers = Fleet.mixed(3, "town", "a");
        assertThat(planner.plan(List.of(demand), workers).desired().size(), is(0));
        assertThat(new Zone("town", "a"), is(workers.getFirst().zone()));
    }
}
