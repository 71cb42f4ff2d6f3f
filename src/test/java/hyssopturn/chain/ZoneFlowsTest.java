package hyssopturn.chain;

import static hyssopturn.chain.Engines.SPEC;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.load.PriorityLoad;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

class ZoneFlowsTest {
    private static final double NEVER = 1e9;
    private static final double OLD_SECONDS = 2;
    private static final long SECOND = 1_000_000_000L;

    private static ZoneState state(String zone, double capacity, double demand, double latePart) {
        PriorityLoad load = new PriorityLoad(0, demand, demand, 0, latePart);
        return new ZoneState(zone, capacity, 20, List.of(load), Duration.ofMillis(200));
    }

    /** Guards against zones that keep what others could serve in time, and against oscillation. */
    @Nested
    class Simulated {
        private static final double SHARE_OF_BOUND = 0.9;
        private static final double BYTES_TO_LEAST = 1.2;
        private static final int STEADY_TURNS = 4;
        private static final double PERIOD = 13;
        private static final double SECONDS = 52;

        private final double capacity = play((zone, t) -> 1, 0, 1).capacity();

        private FlowSimulation play(FlowSimulation.Demand demand, double seconds, long seed) {
            return play(demand, NEVER, 1, SPEC, NEVER, seconds, seed);
        }

        private FlowSimulation play(
                FlowSimulation.Demand demand,
                double loss,
                double slowness,
                EngineSpec spec,
                double cutOff,
                double seconds,
                long seed) {
            return new FlowSimulation(
                            new FlowSimulation.Settings(
                                    10, loss, demand, OLD_SECONDS, slowness, spec, cutOff, seed))
                    .play(seconds);
        }

        private void check(FlowSimulation played, int turns) {
            String what = played.toString();
            double bound = SHARE_OF_BOUND * played.boundOnTime();
            assertThat(what, played.shareOnTime(), greaterThanOrEqualTo(bound));
            assertThat(
                    what, played.bytes(), lessThanOrEqualTo(BYTES_TO_LEAST * played.leastBytes()));
            assertThat(what, played.turns(), lessThanOrEqualTo(turns));
        }

        private double oneBusy(int zone) {
            return (zone == 0 ? 1.4 : 0.7) * capacity;
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void oneZoneLosesHalfOfItsEngines(long seed) {
            check(play((z, t) -> 0.75 * capacity, 10, 1, SPEC, NEVER, SECONDS, seed), STEADY_TURNS);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void oneZoneHasTwiceTheClients(long seed) {
            check(play((z, t) -> oneBusy(z), SECONDS, seed), STEADY_TURNS);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void aWavePassesThroughAllZones(long seed) {
            FlowSimulation.Demand wave =
                    (z, t) ->
                            0.85
                                    * capacity
                                    * (1 + 0.55 * Math.sin(2 * Math.PI * (t / PERIOD + z / 3.0)));
            int turnsOfWave = (int) (2 * SECONDS / PERIOD);
            check(play(wave, SECONDS, seed), turnsOfWave + 2);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2})
        void streamsStayLongerOrShorterThanExpected(long seed) {
            check(
                    play((z, t) -> 0.85 * oneBusy(z), NEVER, 1.15, SPEC, NEVER, SECONDS, seed),
                    STEADY_TURNS);
            check(
                    play((z, t) -> 1.15 * oneBusy(z), NEVER, 0.85, SPEC, NEVER, SECONDS, seed),
                    STEADY_TURNS);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2})
        void linksAreAHundredthAsFast(long seed) {
            check(
                    play((z, t) -> oneBusy(z), NEVER, 1, slow(SPEC), NEVER, SECONDS, seed),
                    STEADY_TURNS);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2})
        void aZoneIsCutOff(long seed) {
            FlowSimulation played = play((z, t) -> oneBusy(z), NEVER, 1, SPEC, 20, SECONDS, seed);
            check(played, STEADY_TURNS);
            // until its last load expires, half of what zone a sends goes there
            double sentUntilExpiry = 0.4 / 2 * capacity * (3 + 1);
            assertThat((double) played.toCutOff(), lessThanOrEqualTo(sentUntilExpiry));
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2})
        void zonesWithRoomSendNothing(long seed) {
            assertThat(play((z, t) -> 0.8 * capacity, SECONDS, seed).left(), equalTo(0));
        }
    }

    private static EngineSpec slow(EngineSpec s) {
        return new EngineSpec(
                s.layers(),
                s.layerMb(),
                s.tokenBytes(),
                s.stepMillis(),
                s.perRequestMillis(),
                s.contextMillis(),
                s.prefillTokensPerSecond(),
                s.activationBytes(),
                s.interZoneMbps() / 100,
                s.loadTime(),
                s.meanPromptTokens(),
                s.meanAnswerTokens(),
                s.kinds());
    }

    @Nested
    class Balance {
        @Test
        void sendsNothingThatFits() {
            List<ZoneState> states = List.of(state("a", 100, 99, 0), state("b", 100, 10, 0));
            assertThat(ZoneBalance.parts("a", states), aMapWithSize(0));
        }

        @Test
        void dividesTheExcessInProportionToRoom() {
            List<ZoneState> states =
                    List.of(
                            state("a", 100, 125, 0),
                            state("b", 100, 67, 0),
                            state("c", 100, 87, 0));
            Map<String, Double> parts = ZoneBalance.parts("a", states);
            assertThat(parts.get("b") + parts.get("c"), closeTo(0.2, 1e-9));
            assertThat(parts.get("b") / parts.get("c"), closeTo(3, 0.2));
        }

        @Test
        void sharesRoomAmongZonesThatHaveTooLittle() {
            List<ZoneState> states =
                    List.of(
                            state("a", 100, 200, 0),
                            state("b", 100, 150, 0),
                            state("c", 100, 70, 0));
            double fromA = 200 * ZoneBalance.parts("a", states).get("c");
            double fromB = 150 * ZoneBalance.parts("b", states).get("c");
            assertThat(fromA, closeTo(2 * fromB, 1e-9));
            assertThat(fromA + fromB, lessThanOrEqualTo(30.0));
        }

        @Test
        void aZoneWhoseOwnClientsAreLateReceivesNothing() {
            List<ZoneState> states = List.of(state("a", 100, 150, 0), state("b", 100, 50, 0.5));
            assertThat(ZoneBalance.parts("a", states), aMapWithSize(0));
        }
    }

    @Nested
    class Steps {
        private final ZoneFlows flows = new ZoneFlows();
        private final List<Double> reports = new ArrayList<>();

        private Optional<ZonePlan> plan(long nanos, ZoneState... states) {
            return flows.plan(
                    "writers",
                    "a",
                    () -> List.of(states),
                    nanos,
                    (service, zone, part) -> reports.add(part));
        }

        @Test
        void areBoundedAndReportedRarely() {
            double before = 0;
            for (int i = 0; i < 100; i++) {
                long now = SECOND + i * ZoneFlows.INTERVAL.toNanos();
                ZonePlan plan =
                        plan(now, state("a", 100, 400, 0), state("b", 900, 0, 0)).orElseThrow();
                double part = plan.other("b").orElseThrow().part();
                assertThat(part - before, lessThanOrEqualTo(ZoneFlows.MAX_STEP + 1e-9));
                before = part;
            }
            assertThat(before, closeTo(0.75, ZoneFlows.DEAD_BAND + 1e-3));
            assertThat(reports.size(), lessThanOrEqualTo(3));
        }

        @Test
        void areNotTakenWhileNothingIsKnownOfOtherZones() {
            assertThat(plan(SECOND, state("a", 100, 400, 0)), equalTo(Optional.empty()));
            assertThat(plan(2 * SECOND, state("b", 100, 0, 0)), equalTo(Optional.empty()));
        }
    }

    @Nested
    class Plan {
        private final ZonePlan plan =
                new ZonePlan(
                        new ZoneState(
                                "a",
                                80,
                                20,
                                List.of(
                                        new PriorityLoad(0, 60, 60, 0, 0),
                                        new PriorityLoad(2, 40, 40, 0, 0)),
                                Duration.ZERO),
                        List.of(new ZonePlan.Neighbour(state("b", 100, 10, 0), 0.5)));

        @Test
        void sendsTheLeastUrgentFirst() {
            assertThat(plan.leavingPart(2), closeTo(1, 1e-9));
            assertThat(plan.leavingPart(0), closeTo(10 / 60.0, 1e-9));
        }

        @Test
        void drawsInProportion() {
            assertThat(plan.draw(0, 0.1), equalTo(Optional.of("b")));
            assertThat(plan.draw(0, 0.2), equalTo(Optional.empty()));
        }
    }

    @Nested
    class Choice {
        private final ChainSearch.Size size = new ChainSearch.Size(800, 154);

        private List<ZoneChoice.Way> order(EngineSpec spec, ZonePlan plan, double draw) {
            ZoneChoice.Request request = new ZoneChoice.Request(size, Duration.ofMillis(500), 0);
            return new ZoneChoice(spec, plan, request).order(draw);
        }

        private ZonePlan plan(ZoneState own, ZoneState other, double part) {
            return new ZonePlan(own, List.of(new ZonePlan.Neighbour(other, part)));
        }

        private static ZoneChoice.Reach zone(String name) {
            return new ZoneChoice.Reach.Zone(name);
        }

        @Test
        void keepsADrawnRequestThatIsServedSoonerHere() {
            ZonePlan plan = plan(state("a", 100, 90, 0), state("b", 100, 140, 0), 0.5);
            assertThat(order(SPEC, plan, 0).getFirst().reach(), equalTo(zone("a")));
        }

        @Test
        void sendsADrawnRequestThatIsServedSoonerThere() {
            ZonePlan plan = plan(state("a", 100, 140, 0), state("b", 100, 50, 0), 0.5);
            assertThat(order(SPEC, plan, 0).getFirst().reach(), equalTo(zone("b")));
            assertThat(order(SPEC, plan, 0.6).getFirst().reach(), equalTo(zone("a")));
        }

        @Test
        void weighsActivationsOnSlowLinks() {
            ZonePlan plan = plan(state("a", 100, 140, 0), state("b", 100, 50, 0), 0.5);
            ZoneChoice.Way fast = order(SPEC, plan, 0).getLast();
            ZoneChoice.Way slow = order(slow(SPEC), plan, 0).getLast();
            assertThat(fast.reach(), equalTo(new ZoneChoice.Reach.Several()));
            assertThat(slow.firstMillis() > 500, is(true));
            assertThat(slow.cost() > 10 * fast.cost(), is(true));
            assertThat(order(slow(SPEC), plan, 0).getFirst().reach(), equalTo(zone("b")));
        }
    }
}
