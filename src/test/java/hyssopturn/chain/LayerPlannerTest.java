package hyssopturn.chain;

import static hyssopturn.chain.Engines.LARGE;
import static hyssopturn.chain.Engines.LAYERS;
import static hyssopturn.chain.Engines.MEDIUM;
import static hyssopturn.chain.Engines.SMALL;
import static hyssopturn.chain.Engines.SPEC;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.LayerRange;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

class LayerPlannerTest {
    private static final String[] KINDS = {LARGE, MEDIUM, SMALL};
    private static final String[] ZONES = {"a", "b", "c"};

    /** Memory of a layer for the requests that an engine should at least have memory for. */
    private static final double MB_OF_REQUESTS = 600;

    private static final double FEW_REQUESTS = 16;

    private static final int RUNS = 200;

    private static List<Endpoint> zone(String zone, int large, int medium, int small) {
        List<Endpoint> engines = new ArrayList<>();
        int[] counts = {large, medium, small};
        for (int kind = 0; kind < KINDS.length; kind++) {
            for (int i = 0; i < counts[kind]; i++) {
                engines.add(Engines.empty(zone + "-" + KINDS[kind] + i, zone, KINDS[kind]));
            }
        }
        return engines;
    }

    private static List<Endpoint> apply(
            List<Endpoint> engines, List<LayerPlanner.Assignment> plan) {
        Map<Endpoint, LayerRange> ranges = new HashMap<>();
        plan.forEach(a -> ranges.put(a.engine(), a.range()));
        return engines.stream()
                .map(e -> ranges.containsKey(e) ? e.withLayers(ranges.get(e)) : e)
                .toList();
    }

    private static int[] copies(List<Endpoint> engines) {
        int[] copies = new int[LAYERS];
        for (Endpoint engine : engines) {
            engine.layers()
                    .ifPresent(r -> IntStream.range(r.from(), r.to()).forEach(i -> copies[i]++));
        }
        return copies;
    }

    private static boolean covered(List<Endpoint> engines) {
        return IntStream.of(copies(engines)).allMatch(c -> c > 0);
    }

    private static List<Endpoint> inZone(List<Endpoint> engines, String zone) {
        return engines.stream().filter(e -> e.zone().equals(zone)).toList();
    }

    @Nested
    class EmptyEngines {
        @Test
        void eachZoneWithEnoughMemoryHoldsTheWholeModel() {
            List<Endpoint> engines = new ArrayList<>(zone("a", 3, 3, 5));
            engines.addAll(zone("b", 1, 5, 8));
            engines.addAll(zone("c", 1, 7, 5));
            List<Endpoint> placed = apply(engines, new LayerPlanner(SPEC).plan(engines));
            for (String zone : ZONES) {
                assertThat(zone, covered(inZone(placed, zone)), is(true));
            }
        }

        @Test
        void spareEnginesOfDifferentZonesHoldDifferentLayers() {
            List<Endpoint> engines = new ArrayList<>(zone("a", 3, 3, 5));
            engines.addAll(zone("b", 1, 5, 8));
            engines.addAll(zone("c", 1, 7, 5));
            int[] copies = copies(apply(engines, new LayerPlanner(SPEC).plan(engines)));
            long thinlyHeld = IntStream.of(copies).filter(c -> c < 4).count();
            assertThat(thinlyHeld, lessThanOrEqualTo(LAYERS / 4L));
        }

        @Test
        void zonesWithTooLittleMemoryHoldTheModelTogether() {
            List<Endpoint> engines = new ArrayList<>(zone("a", 2, 2, 1));
            engines.addAll(zone("b", 1, 2, 2));
            List<Endpoint> placed = apply(engines, new LayerPlanner(SPEC).plan(engines));
            assertThat(covered(placed), is(true));
        }

        @Test
        void noEngineHoldsMoreThanItsMemory() {
            Random random = new Random(1);
            for (int run = 0; run < RUNS; run++) {
                assertNoEngineHoldsMoreThanItsMemory(random);
            }
        }

        private static void assertNoEngineHoldsMoreThanItsMemory(Random random) {
            List<Endpoint> engines = new ArrayList<>();
            for (int i = random.nextInt(40); i >= 0; i--) {
                String kind = KINDS[random.nextInt(KINDS.length)];
                engines.add(Engines.empty("e" + i, ZONES[random.nextInt(ZONES.length)], kind));
            }
            for (LayerPlanner.Assignment a : new LayerPlanner(SPEC).plan(engines)) {
                double memory = SPEC.kind(a.engine().kind()).orElseThrow().memoryMb();
                assertThat(memory, greaterThanOrEqualTo(a.range().size() * SPEC.layerMb()));
            }
        }
    }

    @Nested
    class Changes {
        private final List<Endpoint> engines = zone("b", 1, 5, 8);
        private final List<Endpoint> placed = apply(engines, new LayerPlanner(SPEC).plan(engines));

        @Test
        void nothingMovesWhileEveryLayerIsHeld() {
            assertThat(new LayerPlanner(SPEC).plan(placed), empty());
        }

        @Test
        void layersWithoutAHolderAreReassignedInOnePlan() {
            int[] copies = copies(placed);
            Endpoint soleHolder =
                    placed.stream()
                            .filter(e -> copies[e.layers().orElseThrow().to() - 1] == 1)
                            .findFirst()
                            .orElseThrow();
            List<Endpoint> rest = placed.stream().filter(e -> !e.equals(soleHolder)).toList();
            List<LayerPlanner.Assignment> plan = new LayerPlanner(SPEC).plan(rest);
            assertThat(covered(apply(rest, plan)), is(true));
        }

        @ParameterizedTest
        @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})
        void theLossOfOneEngineIsRepairedInAFewMoves(int failed) {
            List<Endpoint> rest = new ArrayList<>(placed);
            rest.remove(failed);
            List<Endpoint> now = rest;
            for (int round = 0; round < 8; round++) {
                now = apply(now, new LayerPlanner(SPEC).plan(now));
            }
            assertThat(covered(now), is(true));
            assertThat(new LayerPlanner(SPEC).plan(now), empty());
        }

        @Test
        void theLossOfSeveralEnginesIsRepairedByTheRemainingOnes() {
            List<Endpoint> now =
                    new ArrayList<>(
                            placed.stream()
                                    .filter(e -> !e.id().value().matches("b-medium[0-1]"))
                                    .toList());
            for (int round = 0; round < 6; round++) {
                now = apply(now, new LayerPlanner(SPEC).plan(now));
            }
            assertThat(covered(now), is(true));
        }

        /** Guards against zones that stay broken though their engines could hold every layer. */
        @Test
        void aZoneWithEnoughMemoryIsRepairedAtOnce() {
            Random random = new Random(1);
            for (int run = 0; run < RUNS; run++) {
                List<Endpoint> rest = new ArrayList<>(placed);
                for (int i = random.nextInt(3); i >= 0; i--) {
                    rest.remove(random.nextInt(rest.size()));
                }
                if (memoryMb(rest) >= LAYERS * (SPEC.layerMb() + MB_OF_REQUESTS)) {
                    List<Endpoint> now = apply(rest, new LayerPlanner(SPEC).plan(rest));
                    assertThat(rest.toString(), covered(now), is(true));
                }
            }
        }

        private static double memoryMb(List<Endpoint> engines) {
            return engines.stream()
                    .mapToDouble(e -> SPEC.kind(e.kind()).orElseThrow().memoryMb())
                    .sum();
        }

        /** Guards against engines that hold so many layers that they refuse nearly all requests. */
        @Test
        void enginesAreNotFilledWithLayersUntilTheyHaveNoMemoryForRequests() {
            List<Endpoint> all = zone("a", 2, 3, 3);
            List<Endpoint> rest = apply(all, new LayerPlanner(SPEC).plan(all)).subList(0, 6);
            for (LayerPlanner.Assignment a : new LayerPlanner(SPEC).plan(rest)) {
                double tokens =
                        SPEC.tokensThatFit(
                                SPEC.kind(a.engine().kind()).orElseThrow(), a.range().size());
                double requests = tokens / SPEC.meanRequestTokens();
                assertThat(a.toString(), requests, greaterThanOrEqualTo(FEW_REQUESTS));
            }
        }

        @Test
        void aNewEngineGetsLayers() {
            List<Endpoint> extended = new ArrayList<>(placed);
            extended.add(Engines.empty("new", "b", MEDIUM));
            List<LayerPlanner.Assignment> plan = new LayerPlanner(SPEC).plan(extended);
            assertThat(
                    plan.stream().map(a -> a.engine().id().value()).toList(),
                    equalTo(List.of("new")));
        }
    }
}
