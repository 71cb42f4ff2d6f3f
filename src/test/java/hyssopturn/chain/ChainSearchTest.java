package hyssopturn.chain;

import static hyssopturn.chain.Engines.LARGE;
import static hyssopturn.chain.Engines.LAYERS;
import static hyssopturn.chain.Engines.ROOMY;
import static hyssopturn.chain.Engines.ROOMY_SLOW;
import static hyssopturn.chain.Engines.SPEC;
import static hyssopturn.chain.Engines.holding;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import hyssopturn.fleet.Endpoint;
import hyssopturn.load.PriorityLoad;
import hyssopturn.model.InstanceId;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;

class ChainSearchTest {
    private static final ChainSearch.Size SIZE = new ChainSearch.Size(800, 154);

    private static Optional<EngineChain> search(List<Endpoint> engines, String... excluded) {
        return search(engines, new EngineLoad(new SplittableRandom(1), 1), excluded);
    }

    private static Optional<EngineChain> search(
            List<Endpoint> engines, EngineLoad load, String... excluded) {
        Set<InstanceId> without =
                Set.copyOf(List.of(excluded).stream().map(InstanceId::new).toList());
        return new ChainSearch(SPEC, load, new SplittableRandom(1), 0)
                .cheapest(engines, "a", SIZE, without, e -> true);
    }

    @Nested
    class OwnZone {
        private final List<Endpoint> engines =
                List.of(
                        holding("a1", "a", ROOMY_SLOW, 0, 40),
                        holding("a2", "a", ROOMY_SLOW, 40, 80),
                        holding("b1", "b", ROOMY, 0, 40),
                        holding("b2", "b", ROOMY, 40, 80));

        @Test
        void isPreferredThoughOtherZonesAreFaster() {
            assertThat(search(engines).orElseThrow().toString(), equalTo("a1=0-40,a2=40-80"));
        }

        @Test
        void thatLacksALayerIsReplacedByAnotherZoneRatherThanByAChainOverSeveralZones() {
            List<Endpoint> zones = new ArrayList<>(engines);
            zones.add(holding("c1", "c", ROOMY, 40, 80));
            assertThat(search(zones, "a2").orElseThrow().toString(), equalTo("b1=0-40,b2=40-80"));
        }

        @Test
        void isUsedInPartWhenOtherZonesAreFullOfTheirOwnCallers() {
            List<Endpoint> zones =
                    List.of(
                            holding("a1", "a", ROOMY, 0, 64),
                            holding("b1", "b", ROOMY_SLOW, 0, 64),
                            holding("b2", "b", LARGE, 64, 80));
            EngineLoad load = new EngineLoad(new SplittableRandom(1), 1);
            EngineChain own = search(List.of(holding("a0", "a", ROOMY, 0, 80)), load).orElseThrow();
            for (int i = 0; i < 64; i++) {
                load.add(own, SIZE.tokens());
            }
            assertThat(search(zones, load).orElseThrow().toString(), equalTo("a1=0-64,b2=64-80"));
            for (int i = 0; i < 64; i++) {
                load.remove(own, SIZE.tokens());
            }
            assertThat(search(zones, load).orElseThrow().toString(), equalTo("b1=0-64,b2=64-80"));
        }

        @Test
        void isNotUsedAloneWhenALayerIsMissing() {
            assertThat(search(engines, "a2").orElseThrow().uses(new InstanceId("b2")), is(true));
        }
    }

    @Test
    void nodesOfAZoneThatLacksALayerChooseOtherZonesInProportionToTheirSpareMemory() {
        List<Endpoint> engines =
                List.of(
                        holding("b1", "b", LARGE, 0, 16),
                        holding("b2", "b", ROOMY, 16, 80),
                        holding("c1", "c", LARGE, 0, 16),
                        holding("c2", "c", LARGE, 0, 16),
                        holding("c3", "c", LARGE, 0, 16),
                        holding("c4", "c", ROOMY, 16, 80));
        int nodes = 1_000;
        int inLargerZone = 0;
        for (int node = 0; node < nodes; node++) {
            SplittableRandom random = new SplittableRandom(node);
            ChainSearch search = new ChainSearch(SPEC, new EngineLoad(random, 18), random, 0);
            EngineChain chain =
                    search.cheapest(engines, "a", SIZE, Set.of(), e -> true).orElseThrow();
            inLargerZone += chain.first().engine().zone().equals("c") ? 1 : 0;
        }
        assertThat(inLargerZone / (double) nodes, closeTo(0.75, 0.05));
    }

    @Test
    void aNodeWithAllCallersUsesMoreThanItsShare() {
        List<Endpoint> engines = new ArrayList<>();
        for (int from = 0; from < LAYERS; from += 16) {
            engines.add(holding("a" + from, "a", LARGE, from, from + 16));
        }
        EngineLoad load = new EngineLoad(new SplittableRandom(1), 3);
        int admitted = 0;
        while (admitted < 1_000) {
            Optional<EngineChain> chain = search(engines, load);
            if (chain.isEmpty()) {
                break;
            }
            load.add(chain.get(), SIZE.tokens());
            admitted++;
        }
        // 8,000 MB beside 16 layers hold 60,820 tokens, of which one node uses at most half
        assertThat(admitted, equalTo(32));
    }

    /** Guards against a choice that the search does not follow. */
    @Nested
    class ChosenZone {
        private final List<Endpoint> engines =
                List.of(
                        holding("a1", "a", ROOMY, 0, 80),
                        holding("b1", "b", ROOMY, 0, 80),
                        holding("c1", "c", ROOMY, 0, 80));

        private ZoneState state(String zone, double demand) {
            PriorityLoad load = new PriorityLoad(0, demand, demand, 0, 0);
            return new ZoneState(zone, 100, 20, List.of(load), Duration.ZERO);
        }

        private String choose(double demand, double part, String... excluded) {
            ZonePlan plan =
                    new ZonePlan(
                            state("a", demand),
                            List.of(new ZonePlan.Neighbour(state("c", 50), part)));
            ZoneChoice.Request request = new ZoneChoice.Request(SIZE, Duration.ofMillis(500), 0);
            Set<InstanceId> without =
                    Set.copyOf(List.of(excluded).stream().map(InstanceId::new).toList());
            return new ChainSearch(
                            SPEC,
                            new EngineLoad(new SplittableRandom(1), 1),
                            new SplittableRandom(1),
                            0,
                            Optional.of(new ZoneChoice(SPEC, plan, request)))
                    .cheapest(engines, "a", SIZE, without, e -> true)
                    .orElseThrow()
                    .toString();
        }

        @Test
        void isSearchedFirst() {
            assertThat(choose(150, 1), equalTo("c1=0-80"));
            assertThat(choose(150, 0), equalTo("a1=0-80"));
            assertThat(choose(50, 1), equalTo("a1=0-80"));
        }

        @Test
        void withoutEnginesIsFollowedByTheOthers() {
            assertThat(choose(150, 1, "c1"), equalTo("a1=0-80"));
            assertThat(choose(150, 1, "a1", "c1"), equalTo("b1=0-80"));
        }
    }

    @Nested
    class Engine {
        @Test
        void mayRunAPartOfItsLayers() {
            List<Endpoint> engines =
                    List.of(
                            holding("a1", "a", ROOMY, 0, 50),
                            holding("a2", "a", ROOMY_SLOW, 30, 80));
            assertThat(search(engines).orElseThrow().toString(), equalTo("a1=0-50,a2=50-80"));
        }

        @Test
        void withoutMemoryIsNotUsed() {
            List<Endpoint> engines = List.of(holding("a1", "a", LARGE, 0, 80));
            assertThat(search(engines), equalTo(Optional.empty()));
        }

        @Test
        void fullOfOwnRequestsIsNotUsed() {
            List<Endpoint> engines =
                    List.of(
                            holding("a1", "a", LARGE, 0, 16),
                            holding("a2", "a", LARGE, 16, 32),
                            holding("a3", "a", LARGE, 32, 48),
                            holding("a4", "a", LARGE, 48, 64),
                            holding("a5", "a", LARGE, 64, 80));
            EngineLoad load = new EngineLoad(new SplittableRandom(1), 1);
            int admitted = 0;
            for (Optional<EngineChain> c = search(engines, load);
                    c.isPresent();
                    c = search(engines, load)) {
                load.add(c.get(), SIZE.tokens());
                admitted++;
            }
            double fit = SPEC.tokensThatFit(SPEC.kind(LARGE).orElseThrow(), 16);
            assertThat(admitted, equalTo((int) (fit / SIZE.tokens())));
        }
    }

    @Nested
    class FailedEngine {
        private final List<Endpoint> engines =
                List.of(
                        holding("a1", "a", ROOMY, 0, 20),
                        holding("a2", "a", ROOMY, 20, 40),
                        holding("a3", "a", ROOMY, 40, 80),
                        holding("b1", "b", ROOMY, 0, 30),
                        holding("b2", "b", ROOMY, 25, 60));
        private final EngineChain chain = search(engines, "b1", "b2").orElseThrow();

        private Optional<EngineChain> replace(String failed, String... excluded) {
            Set<InstanceId> without =
                    Set.copyOf(List.of(excluded).stream().map(InstanceId::new).toList());
            return new ChainSearch(
                            SPEC,
                            new EngineLoad(new SplittableRandom(1), 1),
                            new SplittableRandom(1),
                            0)
                    .replaceEngine(chain, new InstanceId(failed), engines, SIZE, without);
        }

        @Test
        void isReplacedWhileTheOthersStayInTheChain() {
            assertThat(
                    replace("a2").orElseThrow().toString(),
                    equalTo("a1=0-20,b1=20-30,b2=30-40,a3=40-80"));
        }

        @Test
        void cannotBeReplacedIfItIsTheFirstOfTheChain() {
            assertThat(replace("a1"), equalTo(Optional.empty()));
        }

        @Test
        void cannotBeReplacedIfNoOtherEngineHoldsItsLayers() {
            assertThat(replace("a2", "b1"), equalTo(Optional.empty()));
        }
    }

    @Property(tries = 300)
    void aChainIsFoundIfEveryLayerIsHeldAndEachHopRunsLayersThatItsEngineHolds(
            @ForAll Random random) {
        List<Endpoint> engines = new ArrayList<>();
        boolean[] held = new boolean[LAYERS];
        for (int i = 0; i < 14; i++) {
            int from = random.nextInt(LAYERS);
            int to = Math.min(LAYERS, from + 1 + random.nextInt(16));
            engines.add(holding("e" + i, random.nextBoolean() ? "a" : "b", LARGE, from, to));
            for (int layer = from; layer < to; layer++) {
                held[layer] = true;
            }
        }
        boolean whole = true;
        for (boolean layer : held) {
            whole &= layer;
        }
        Optional<EngineChain> chain = search(engines);
        assertThat(chain.isPresent(), is(whole));
        chain.ifPresent(
                c -> {
                    assertThat(c.hops().getLast().range().to(), equalTo(LAYERS));
                    c.hops()
                            .forEach(
                                    h ->
                                            assertThat(
                                                    h.engine()
                                                            .layers()
                                                            .orElseThrow()
                                                            .contains(h.range()),
                                                    is(true)));
                });
    }
}
