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

    /** Nodes that order small engines, under virtual time. */
    private static final class World {
        private final VirtualClock clock = new VirtualClock(0);
        private final MemoryLog log = new MemoryLog(clock);
        private final LocalEngines engines = new LocalEngines(clock);
        private final List<FakeEngine> fakes = new ArrayList<>();
        private final List<Instance> instances = new ArrayList<>();
        private final List<Suspendable> processes = new ArrayList<>();
        private final List<LeaseController> leases = new ArrayList<>();
        private final List<GatedEngines> gates = new ArrayList<>();
        private final Set<Integer> dead = new TreeSet<>();
        private final ServingVersions versions = new ServingVersions();
        private Config config = config("1");
        private boolean covered;

        World(boolean fenced) {
            for (int i = 0; i < ENGINES; i++) {
                engine(i, fenced);
            }
            for (int i = 0; i < NODES; i++) {
                node(i);
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

        private void engine(int i, boolean fenced) {
            FakeEngine fake =
                    new FakeEngine(EngineProfile.quick(), List.of(), LAYERS, fenced, clock);
            Address at = new Address("10.0.0." + i, 1);
            engines.add(at, fake, Duration.ofMillis(1));
            fakes.add(fake);
            instances.add(
                    new Instance(
                            new InstanceId("engine-" + i),
                            1,
                            new Instance.Role.Engine("a10", ROOM * LAYER_BYTES, fenced),
                            at,
                            new Zone("town", "zone-" + i % 2),
                            false));
        }

        private void node(int i) {
            Suspendable process = new Suspendable(clock, log, 1);
            GatedEngines gate = new GatedEngines(engines, process);
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
                            new PlacementController.Outside(
                                    () -> config,
                                    this::view,
                                    gate,
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
            gates.add(gate);
            lease.start();
            placement.start();
        }

        private View view() {
            List<View.EngineView> views = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                if (!dead.contains(i)) {
                    views.add(new View.EngineView(instances.get(i), fakes.get(i).report()));
                }
            }
            return new View(List.of(), views, List.of());
        }

        /** Moves on; what was once held whole stays so in the version that serves. */
        void advance(Duration span) {
            long end = clock.nanos() + span.toNanos();
            while (clock.nanos() < end) {
                clock.advance(STEP);
                ModelSpec serving = versions.choose(config, view()).models().get("m");
                boolean now = uncovered(serving).isEmpty();
                assertThat("a layer lost its last holder", covered && !now, is(false));
                covered = now;
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

        /** Every layer has two zones, and no engine holds or loads anything else. */
        void checkAtRest(int zones) {
            ModelId wanted = config.models().get("m").id();
            for (int layer = 0; layer < LAYERS; layer++) {
                assertThat("layer " + layer, zones(wanted, layer).size(), is(zones));
            }
            for (View.EngineView engine : view().engines()) {
                assertThat(engine.report().loading(), empty());
                assertThat(
                        engine.report().held().stream().map(Holding::model).distinct().toList(),
                        is(List.of(wanted)));
            }
        }

        int holder() {
            for (int i = 0; i < NODES; i++) {
                if (leases.get(i).term().isPresent()) {
                    return i;
                }
            }
            return -1;
        }
    }

    private static final Duration TAKEN = Duration.ofSeconds(40);

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void emptyEnginesGetLayersInTwoZones(boolean fenced) {
        World world = new World(fenced);
        world.advance(TAKEN);
        world.checkAtRest(2);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void newVersionRollsWithoutAGap(boolean fenced) {
        World world = new World(fenced);
        world.advance(TAKEN);
        world.config = World.config("2");
        world.advance(TAKEN);
        world.checkAtRest(2);
    }

    @Test
    void aRollIsOvertakenByTheNextVersion() {
        World world = new World(true);
        world.advance(TAKEN);
        world.config = World.config("2");
        world.advance(Duration.ofSeconds(1));
        world.config = World.config("3");
        world.advance(TAKEN.multipliedBy(2));
        world.checkAtRest(2);
    }

    @Test
    void rangesOfADeadEngineGetANewHolder() {
        World world = new World(true);
        world.advance(TAKEN);
        world.dead.add(0);
        world.advance(TAKEN);
        ModelSpec model = world.config.models().get("m");
        assertThat(world.uncovered(model), empty());
    }

    @Nested
    class FrozenHolder {
        /** The holder stops just before an order of a roll, which leaves long after it. */
        private void freezeRoll(boolean fenced, int before) {
            World world = new World(fenced);
            world.advance(TAKEN);
            int frozen = world.holder();
            world.gates.get(frozen).freezeBefore(before);
            world.config = World.config("2");
            world.advance(TAKEN);
            wake(world, frozen);
        }

        /** The holder stops just before an order of the old version, which leaves after a roll. */
        private void freezeStart(boolean fenced, int before) {
            World world = new World(fenced);
            while (world.holder() < 0) {
                world.advance(STEP);
            }
            int frozen = world.holder();
            world.gates.get(frozen).freezeBefore(before);
            world.advance(TAKEN);
            assertThat("frozen", world.processes.get(frozen).running(), is(false));
            world.config = World.config("2");
            world.advance(TAKEN);
            world.checkAtRest(2);
            wake(world, frozen);
        }

        private void wake(World world, int frozen) {
            world.processes.get(frozen).wake();
            world.advance(TAKEN);
            world.checkAtRest(2);
        }

        @Test
        void harmsNothingWhicheverOrderItWas() {
            for (int before = 0; before < ENGINES; before++) {
                freezeStart(true, before);
                freezeRoll(true, before);
                freezeRoll(true, before + ENGINES);
            }
        }

        @Test
        void isCorrectedAtEnginesThatIgnoreTerms() {
            for (int before = 0; before < ENGINES; before++) {
                freezeStart(false, before);
                freezeRoll(false, before);
                freezeRoll(false, before + ENGINES);
            }
        }

        @Test
        void whoseOldOrderLastsIsSeenByTheOracle() {
            World world = new World(false);
            world.advance(TAKEN);
            Holding old = world.fakes.getFirst().report().held().getFirst();
            world.config = World.config("2");
            world.advance(TAKEN);
            world.processes.forEach(Suspendable::pause);
            world.fakes.getFirst().order(new Order(1, List.of(old)));
            world.advance(TAKEN);
            assertThrows(AssertionError.class, () -> world.checkAtRest(2));
        }
    }

    @Test
    void theOracleSeesALastCopyGo() {
        World world = new World(false);
        world.advance(TAKEN);
        assertThrows(
                AssertionError.class,
                () -> {
                    world.fakes.forEach(f -> f.order(new Order(99, List.of())));
                    world.advance(TAKEN);
                });
    }

    record Happening(int kind, int node, int span) {}

    @Provide
    Arbitrary<Happening> happening() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 6),
                        Arbitraries.integers().between(0, NODES - 1),
                        Arbitraries.integers().between(0, 24))
                .as(Happening::new);
    }

    @Property(seed = "73", tries = 60)
    void coverageLastsThroughPausesOutagesAndRolls(
            @ForAll boolean fenced,
            @ForAll @Size(max = 14) List<@From("happening") Happening> happenings) {
        World world = new World(fenced);
        world.advance(TAKEN);
        for (Happening h : happenings) {
            switch (h.kind()) {
                case 0 -> world.processes.get(h.node()).pause();
                case 1 -> world.processes.get(h.node()).wake();
                case 2 -> world.gates.get(h.node()).freezeBefore(h.span() % 5);
                case 3 -> world.log.down(true);
                case 4 -> world.log.down(false);
                case 5 -> world.log.loseAnswers(3);
                default -> world.config = World.config(Long.toString(world.config.version() + 1));
            }
            world.advance(Duration.ofMillis(500L * h.span()));
        }
        world.log.down(false);
        world.gates.forEach(g -> g.freezeBefore(-1));
        world.processes.forEach(Suspendable::wake);
        world.advance(TAKEN.multipliedBy(3));
        world.checkAtRest(2);
    }
}
