package hyssopturn.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.flogger.FluentLogger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.time.Duration;

/** Limits whose issuer nodes cannot find or reach; {@code hyssopturn.soak.seeds} for more. */
class UnissuedLimitTest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int SEEDS = Integer.getInteger("hyssopturn.soak.seeds", 1);

    /** Least number of requests that an endpoint takes by its limit while they are counted. */
    private static final double COUNTED = 150;

    private static final Duration TIME = Duration.ofSeconds(60);

    /** Time in which nodes notice that nobody answers. */
    private static final Duration NOTICE_TIME = Duration.ofSeconds(8);

    /** Requests that callers send in a surge, as a multiple of those that they send else. */
    private static final double SURGE = 10;

    /** Part of the limit that callers of nodes without an issuer are to use together. */
    private static final double USED = 0.3;

    private interface Play {
        void run(LimitSimulation simulation);
    }

    /** Time for which callers come back; short where many callers wait. */
    private static Duration patience(double limit) {
        return Duration.ofSeconds(limit < 50 ? 30 : 3);
    }

    /** Returns a time in which an endpoint takes enough requests to tell parts of them. */
    private static Duration countTime(double limit) {
        return Duration.ofSeconds(Math.max(TIME.toSeconds(), (long) (COUNTED / limit)));
    }

    /** Plays until nodes have noticed, and then for a time in which requests are counted. */
    private static void assertKept(
            String what, LimitSimulation simulation, Duration time, double part, Play before) {
        simulation.hearEverywhere();
        before.run(simulation);
        simulation.run(NOTICE_TIME);
        long sent = simulation.unissued();
        simulation.run(time);
        logger.atInfo().log(
                "%s: most %d of %d, used %.3f, without an issuer %.3f",
                what,
                simulation.mostOfAll(),
                simulation.allowed(),
                simulation.used(time),
                simulation.part(simulation.unissued() - sent, time));
        assertThat(simulation.mostOfAll(), lessThanOrEqualTo(simulation.allowed()));
        assertThat(simulation.used(time), greaterThanOrEqualTo(part));
    }

    private static void assertKept(
            String what, int nodes, double limit, boolean even, double part, Play before) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LimitSimulation simulation = new LimitSimulation(nodes, limit, even, seed);
            simulation.patience(patience(limit));
            String title =
                    "%s, %d nodes, %.1f/s, even=%s, seed %d"
                            .formatted(what, nodes, limit, even, seed);
            assertKept(title, simulation, countTime(limit), part, before);
        }
    }

    /** Guards against requests refused by all nodes while none can read who issues grants. */
    @Nested
    class HoldersUnknownFromTheStart {
        private static void assertKept(int nodes, double limit, boolean even, double part) {
            UnissuedLimitTest.assertKept(
                    "unknown", nodes, limit, even, part, simulation -> simulation.hideHolders(1));
        }

        @ParameterizedTest
        @CsvSource({
            "7, 0.5",
            "7, 3.4",
            "7, 100",
            "95, 0.5",
            "95, 3.4",
            "95, 100",
            "300, 3.4",
            "300, 100"
        })
        void limitIsKeptAndPartlyUsed(int nodes, double limit) {
            assertKept(nodes, limit, true, USED);
        }

        @ParameterizedTest
        @CsvSource({"300, 0.5, true", "7, 0.5, false", "7, 100, false", "95, 3.4, false"})
        void limitIsKeptWithFewCallersANodeAndUnevenOnes(int nodes, double limit, boolean even) {
            assertKept(nodes, limit, even, 0);
        }

        @ParameterizedTest
        @CsvSource({"7, 0.5", "7, 3.4", "7, 100", "95, 0.5", "95, 3.4", "95, 100", "300, 3.4"})
        void limitIsKeptWhereOtherNodesKnowTheIssuer(int nodes, double limit) {
            UnissuedLimitTest.assertKept(
                    "half", nodes, limit, true, USED, simulation -> simulation.hideHolders(0.5));
        }

        @ParameterizedTest
        @CsvSource({"7, 0.5", "95, 0.5", "95, 3.4", "95, 100", "300, 0.5", "300, 3.4"})
        void limitIsKeptInASurgeAfterCallersWereIdle(int nodes, double limit) {
            UnissuedLimitTest.assertKept(
                    "surge",
                    nodes,
                    limit,
                    true,
                    0,
                    simulation -> {
                        simulation.hideHolders(1);
                        simulation.run(NOTICE_TIME);
                        simulation.demand(0);
                        simulation.run(TIME);
                        simulation.demand(SURGE);
                    });
        }
    }

    @Nested
    class ClocksThatDiffer {
        @ParameterizedTest
        @CsvSource({"7, 0.5", "7, 100", "95, 0.5", "95, 3.4", "95, 100", "300, 3.4"})
        void limitIsKeptAndPartlyUsed(int nodes, double limit) {
            assertKept(
                    "clocks",
                    nodes,
                    limit,
                    true,
                    USED,
                    simulation -> {
                        simulation.hideHolders(1);
                        simulation.stepClocks(Duration.ofSeconds(2));
                        simulation.run(NOTICE_TIME);
                        simulation.stepClocks(Duration.ofHours(1));
                    });
        }
    }

    /** Guards against the same while holders cannot be read any more. */
    @Nested
    class HoldersLostLater {
        @ParameterizedTest
        @CsvSource({
            "7, 0.5",
            "7, 3.4",
            "7, 100",
            "95, 0.5",
            "95, 3.4",
            "95, 100",
            "300, 3.4",
            "300, 100"
        })
        void limitIsKeptAndPartlyUsed(int nodes, double limit) {
            assertKept(
                    "lost",
                    nodes,
                    limit,
                    true,
                    USED,
                    simulation -> {
                        simulation.run(NOTICE_TIME);
                        simulation.loseHolders();
                    });
        }

        @ParameterizedTest
        @CsvSource({
            "7, 0.5",
            "7, 3.4",
            "7, 100",
            "95, 0.5",
            "95, 3.4",
            "95, 100",
            "300, 3.4",
            "300, 100"
        })
        void limitIsKeptAndPartlyUsedBesideOldKnowledge(int nodes, double limit) {
            assertKept(
                    "replaced",
                    nodes,
                    limit,
                    true,
                    USED,
                    simulation -> {
                        simulation.run(NOTICE_TIME);
                        simulation.hideHolders(1);
                        simulation.restart(0.5, Duration.ofSeconds(5));
                        simulation.run(Duration.ofSeconds(5));
                        simulation.hearEverywhere();
                        simulation.rebalance();
                    });
        }
    }

    /** Guards against a sum of an issuer, its deputy and nodes that reach neither. */
    @Nested
    class ZonesThatCannotReachEachOther {
        @ParameterizedTest
        @CsvSource({
            "7, 0.5",
            "7, 3.4",
            "7, 100",
            "95, 0.5",
            "95, 3.4",
            "95, 100",
            "300, 3.4",
            "300, 100"
        })
        void limitIsKeptAndPartlyUsed(int nodes, double limit) {
            assertKept(
                    "zones",
                    nodes,
                    limit,
                    true,
                    USED,
                    simulation -> {
                        simulation.run(NOTICE_TIME);
                        simulation.cutZones(true);
                    });
        }
    }
}
