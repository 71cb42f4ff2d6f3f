package hyssopturn.place;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.lease.LeaseController;
import hyssopturn.lease.LeaseTiming;
import hyssopturn.member.View;
import hyssopturn.model.Address;
import hyssopturn.model.ClassName;
import hyssopturn.model.Config;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.model.WorkClass;
import hyssopturn.model.Zone;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Order;
import hyssopturn.port.Instance;
import hyssopturn.port.WeightStore;
import hyssopturn.standin.EngineProfile;
import hyssopturn.standin.FakeEngine;
import hyssopturn.standin.LocalEngines;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.MemoryWeights;
import hyssopturn.standin.Suspendable;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Stream;

class PlacementTest {
    private static final int LAYERS = 12;
    private static final int ENGINES = 8;
    private static final int NODES = 3;
    private static final long LAYER_BYTES = 64L << 20;
    private static final int ROOM = 4;
    private static final Duration STEP = Duration.ofMillis(250);

    /** Simulated nodes that send orders to small engines, in virtual time. */
    private static final class Cluster {
        private final VirtualClock clock = new VirtualClock(0);
        private final MemoryLog log = new MemoryLog(clock);
        private final LocalEngines engines = new LocalEngines(clock);
        private final List<FakeEngine> fakes = new ArrayList<>();
        private final List<Instance> instances = new ArrayList<>();
        private final List<Suspendable> processes = new ArrayList<>();
        private final List<LeaseController> leases = new ArrayList<>();
        private final List<PausingEngines> engineClients = new ArrayList<>();
        private final Set<Integer> failedEngines = new TreeSet<>();
        private final ServingVersions versions = new ServingVersions();
        private Config config = config("1");
        private boolean covered;

        Cluster(boolean fenced) {
            for (int i = 0; i < ENGINES; i++) {
                addEngine(i, fenced);
            }
            for (int i = 0; i < NODES; i++) {
                addNode(i);
            }
        }

        private static Config config(String version) {
            ModelSpec model = new ModelSpec(new ModelId("m", version), LAYERS, LAYER_BYTES);
            ClassName name = new ClassName("letter");
            Duration target = Duration.ofMillis(50);
            WorkClass letter =
                    new WorkClass(
                            name, new Work.Generate("m"), new Target.Stream(target, target), 1);
            return new Config(
                    Long.parseLong(version), Map.of("m", model), Map.of(name, letter), Set.of());
        }

        private void addEngine(int i, boolean fenced) {
            FakeEngine fake =
                    new FakeEngine(EngineProfile.quick(), List.of(), LAYERS, fenced, clock);
            Address address = new Address("10.0.0." + i, 1);
            engines.add(address, fake, Duration.ofMillis(1));
            fakes.add(fake);
            instances.add(
                    new Instance(
                            new InstanceId("engine-" + i),
                            1,
                            new Instance.Role.Engine("a10", ROOM * LAYER_BYTES, fenced),
                            address,
                            new Zone("town", "zone-" + i % 2),
                            false));
        }

        private void addNode(int i) {
            Suspendable process = new Suspendable(clock, log, 1);
            PausingEngines engineClient = new PausingEngines(engines, process);
            LeaseController lease =
                    new LeaseController(
                            new InstanceId("node-" + i),
                            process,
                            process,
                            new SplittableRandom(i),
                            LeaseTiming.STANDARD,
                            held -> {},
                            new SimpleMeterRegistry());
            PlacementController placement =
                    new PlacementController(
                            new PlacementController.Dependencies(
                                    () -> config,
                                    this::view,
                                    engineClient,
                                    new MemoryWeights(
                                            new WeightStore.Weights(LAYERS, LAYER_BYTES, 1L << 30)),
                                    process),
                            lease,
                            LeaseTiming.STANDARD,
                            new DemandMeter(process),
                            Links.BY_DISTANCE,
                            new SimpleMeterRegistry());
            processes.add(process);
            leases.add(lease);
            engineClients.add(engineClient);
            lease.start();
            placement.start();
        }

        private View view() {
            List<View.EngineView> views = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                if (!failedEngines.contains(i)) {
                    views.add(new View.EngineView(instances.get(i), fakes.get(i).report()));
                }
            }
            return new View(List.of(), views, List.of());
        }

        /**
         * Advances the clock and checks at each step that the serving version stays fully covered
         * once it was, and that no engine exceeds its memory.
         */
        void advance(Duration duration) {
            long end = clock.nanos() + duration.toNanos();
            while (clock.nanos() < end) {
                clock.advance(STEP);
                ModelSpec serving = versions.choose(config, view()).models().get("m");
                boolean coveredNow = uncovered(serving).isEmpty();
                assertThat("a layer lost its last holder", covered && !coveredNow, is(false));
                covered = coveredNow;
                checkMemory();
            }
        }

        private void checkMemory() {
            for (View.EngineView engine : view().engines()) {
                int layers =
                        Stream.concat(
                                        engine.report().held().stream(),
                                        engine.report().loading().stream())
                                .mapToInt(h -> h.layers().size())
                                .sum();
                assertThat("layers in memory", layers, lessThanOrEqualTo(ROOM));
            }
        }

        private Set<Integer> uncovered(ModelSpec spec) {
            Set<Integer> missing = new TreeSet<>();
            for (int layer = 0; layer < LAYERS; layer++) {
                if (zones(spec.id(), layer).isEmpty()) {
                    missing.add(layer);
                }
            }
            return missing;
        }

        private Set<Zone> zones(ModelId model, int layer) {
            LayerRange one = new LayerRange(layer, layer + 1);
            Set<Zone> zones = new TreeSet<>();
            for (View.EngineView engine : view().engines()) {
                if (engine.report().held().stream()
                        .anyMatch(h -> h.model().equals(model) && h.layers().contains(one))) {
                    zones.add(engine.instance().zone());
                }
            }
            return zones;
        }

        /**
         * Checks that each layer of the published version has holders in this many zones, and that
         * no engine loads anything or holds another version.
         */
        void checkConverged(int zones) {
            ModelId published = config.models().get("m").id();
            for (int layer = 0; layer < LAYERS; layer++) {
                assertThat("layer " + layer, zones(published, layer).size(), is(zones));
            }
            for (View.EngineView engine : view().engines()) {
                assertThat(engine.report().loading(), empty());
                assertThat(
                        engine.report().held().stream().map(Holding::model).distinct().toList(),
                        is(List.of(published)));
            }
        }

        /** Returns the index of the node that holds the lease, -1 if none does. */
        int leaseHolder() {
            for (int i = 0; i < NODES; i++) {
                if (leases.get(i).term().isPresent()) {
                    return i;
                }
            }
            return -1;
        }
    }

    private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(40);

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void emptyEnginesLoadEveryLayerInTwoZones(boolean fenced) {
        Cluster cluster = new Cluster(fenced);
        cluster.advance(CONVERGENCE_TIME);
        cluster.checkConverged(2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rolloutKeepsEveryLayerCovered(boolean fenced) {
        Cluster cluster = new Cluster(fenced);
        cluster.advance(CONVERGENCE_TIME);
        cluster.config = Cluster.config("2");
        cluster.advance(CONVERGENCE_TIME);
        cluster.checkConverged(2);
    }

    @Test
    void nextVersionSupersedesAnUnfinishedRollout() {
        Cluster cluster = new Cluster(true);
        cluster.advance(CONVERGENCE_TIME);
        cluster.config = Cluster.config("2");
        cluster.advance(Duration.ofSeconds(1));
        cluster.config = Cluster.config("3");
        cluster.advance(CONVERGENCE_TIME.multipliedBy(2));
        cluster.checkConverged(2);
    }

    @Test
    void layersOfAFailedEngineAreReassigned() {
        Cluster cluster = new Cluster(true);
        cluster.advance(CONVERGENCE_TIME);
        cluster.failedEngines.add(0);
        cluster.advance(CONVERGENCE_TIME);
        ModelSpec model = cluster.config.models().get("m");
        assertThat(cluster.uncovered(model), empty());
    }

    @Nested
    class PausedLeaseHolder {
        /**
         * Pauses the lease holder just before it sends an order of a rollout; the order is sent
         * long after another node has taken over.
         */
        private void pauseDuringRollout(boolean fenced, int ordersBefore) {
            Cluster cluster = new Cluster(fenced);
            cluster.advance(CONVERGENCE_TIME);
            int paused = cluster.leaseHolder();
            cluster.engineClients.get(paused).pauseAfterOrders(ordersBefore);
            cluster.config = Cluster.config("2");
            cluster.advance(CONVERGENCE_TIME);
            resumeAndCheck(cluster, paused);
        }

        /**
         * Pauses the lease holder just before it sends an order for the first version; the order is
         * sent after the rollout of the next version.
         */
        private void pauseDuringFirstPlacement(boolean fenced, int ordersBefore) {
            Cluster cluster = new Cluster(fenced);
            while (cluster.leaseHolder() < 0) {
                cluster.advance(STEP);
            }
            int paused = cluster.leaseHolder();
            cluster.engineClients.get(paused).pauseAfterOrders(ordersBefore);
            cluster.advance(CONVERGENCE_TIME);
            assertThat("lease holder runs", cluster.processes.get(paused).running(), is(false));
            cluster.config = Cluster.config("2");
            cluster.advance(CONVERGENCE_TIME);
            cluster.checkConverged(2);
            resumeAndCheck(cluster, paused);
        }

        private void resumeAndCheck(Cluster cluster, int paused) {
            cluster.processes.get(paused).wake();
            cluster.advance(CONVERGENCE_TIME);
            cluster.checkConverged(2);
        }

        @Test
        void staleOrderHasNoLastingEffect() {
            for (int orders = 0; orders < ENGINES; orders++) {
                pauseDuringFirstPlacement(true, orders);
                pauseDuringRollout(true, orders);
                pauseDuringRollout(true, orders + ENGINES);
            }
        }

        @Test
        void staleOrderIsCorrectedOnEnginesThatIgnoreTerms() {
            for (int orders = 0; orders < ENGINES; orders++) {
                pauseDuringFirstPlacement(false, orders);
                pauseDuringRollout(false, orders);
                pauseDuringRollout(false, orders + ENGINES);
            }
        }

        @Test
        void uncorrectedStaleOrderFailsTheConvergenceCheck() {
            Cluster cluster = new Cluster(false);
            cluster.advance(CONVERGENCE_TIME);
            Holding old = cluster.fakes.getFirst().report().held().getFirst();
            cluster.config = Cluster.config("2");
            cluster.advance(CONVERGENCE_TIME);
            cluster.processes.forEach(Suspendable::pause);
            cluster.fakes.getFirst().order(new Order(1, List.of(old)));
            cluster.advance(CONVERGENCE_TIME);
            assertThrows(AssertionError.class, () -> cluster.checkConverged(2));
        }
    }

    @Test
    void losingTheLastHolderFailsTheCoverageCheck() {
        Cluster cluster = new Cluster(false);
        cluster.advance(CONVERGENCE_TIME);
        assertThrows(
                AssertionError.class,
                () -> {
                    cluster.fakes.forEach(f -> f.order(new Order(99, List.of())));
                    cluster.advance(CONVERGENCE_TIME);
                });
    }

    /** A disturbance, of one of the kinds in the test, and the time until the next one. */
    record Disturbance(int kind, int node, int halfSeconds) {}

    @Provide
    Arbitrary<Disturbance> disturbance() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 6),
                        Arbitraries.integers().between(0, NODES - 1),
                        Arbitraries.integers().between(0, 24))
                .as(Disturbance::new);
    }

    @Property(seed = "73", tries = 60)
    void coverageSurvivesPausesOutagesAndRollouts(
            @ForAll boolean fenced,
            @ForAll @Size(max = 14) List<@From("disturbance") Disturbance> disturbances) {
        Cluster cluster = new Cluster(fenced);
        cluster.advance(CONVERGENCE_TIME);
        for (Disturbance d : disturbances) {
            switch (d.kind()) {
                case 0 -> cluster.processes.get(d.node()).pause();
                case 1 -> cluster.processes.get(d.node()).wake();
                case 2 -> cluster.engineClients.get(d.node()).pauseAfterOrders(d.halfSeconds() % 5);
                case 3 -> cluster.log.down(true);
                case 4 -> cluster.log.down(false);
                case 5 -> cluster.log.loseAnswers(3);
                default ->
                        cluster.config =
                                Cluster.config(Long.toString(cluster.config.version() + 1));
            }
            cluster.advance(Duration.ofMillis(500L * d.halfSeconds()));
        }
        cluster.log.down(false);
        cluster.engineClients.forEach(g -> g.pauseAfterOrders(-1));
        cluster.processes.forEach(Suspendable::wake);
        cluster.advance(CONVERGENCE_TIME.multipliedBy(3));
        cluster.checkConverged(2);
    }
}
