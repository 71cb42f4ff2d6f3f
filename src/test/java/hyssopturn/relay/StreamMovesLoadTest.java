package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.flogger.FluentLogger;

import hyssopturn.relay.MovesSimulation.Load;
import hyssopturn.relay.MovesSimulation.Room;
import hyssopturn.relay.StreamWorld.Rule;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Streams on 100 engines in virtual time, of which some are silent for 0.5 to 2 s at once, some are
 * full and some end.
 *
 * <p>The whole by hand: {@code -Dhyssopturn.soak.seconds=20 -Dhyssopturn.soak.seeds=2}, with {@code
 * -Dexcluded.groups=} for the checks that fail.
 */
class StreamMovesLoadTest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int SEEDS = Integer.getInteger("hyssopturn.soak.seeds", 1);

    /** Seconds in which faults begin, in a long run by hand. */
    private static final int SECONDS = Integer.getInteger("hyssopturn.soak.seconds", 0);

    private static final boolean WHOLE = SECONDS > 0;
    private static final Duration TIME = Duration.ofSeconds(WHOLE ? SECONDS : 5);

    /** Part of all work that may be thrown away. */
    private static final double MAX_THROWN_AWAY = 0.01;

    private static final long SEED_OF_CUTS = 2;
    private static final Duration TIME_OF_CUTS = Duration.ofSeconds(20);
    private static final double PERCENTILE = 0.99;
    private static final double PERCENT = 100;
    private static final Map<Load, LoadFigures> RUN = new ConcurrentHashMap<>();

    /** Numbers of nodes, and of engines that are silent at once. */
    private record Case(int nodes, int silent) {}

    private static List<Case> faults() {
        if (!WHOLE) {
            return List.of(
                    new Case(7, 1),
                    new Case(7, 10),
                    new Case(7, 50),
                    new Case(7, 100),
                    new Case(95, 10),
                    new Case(300, 50));
        }
        List<Case> cases = new ArrayList<>();
        for (int nodes : new int[] {7, 95, 300}) {
            for (int silent : new int[] {1, 10, 50, 100}) {
                cases.add(new Case(nodes, silent));
            }
        }
        return cases;
    }

    private static List<Case> someSilent() {
        return faults().stream().filter(c -> c.silent() < MovesSimulation.ENGINES).toList();
    }

    private static List<Case> allSilent() {
        return faults().stream().filter(c -> c.silent() == MovesSimulation.ENGINES).toList();
    }

    private static List<Integer> nodes() {
        return WHOLE ? List.of(7, 95, 300) : List.of(7, 95);
    }

    /** Runs a load once for each seed. */
    private static List<LoadFigures> run(Case some, Room room, Rule rule) {
        List<LoadFigures> all = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Load load = new Load(some.nodes(), some.silent(), room, rule, seed, TIME);
            all.add(RUN.computeIfAbsent(load, StreamMovesLoadTest::runAndPrint));
        }
        return all;
    }

    private static LoadFigures runAndPrint(Load load) {
        LoadFigures figures = MovesSimulation.run(load);
        logger.atInfo().log("%s%s", caseColumns(load), figureColumns(figures));
        return figures;
    }

    private static String caseColumns(Load load) {
        String rule = load.rule() == Rule.KEEP_HOLDER ? "new" : "old";
        return "| %d | %d | %s | %s | %d "
                .formatted(load.nodes(), load.silent(), load.room(), rule, load.seed());
    }

    private static String figureColumns(LoadFigures figures) {
        return String.format(
                Locale.ROOT,
                "| %d | %d | %d | %d | %.2f | %.2f %% | %.2f %% | %d ms |",
                figures.streams(),
                figures.cut(),
                figures.refused(),
                figures.retries(),
                figures.mostUsed(),
                PERCENT * figures.thrownAway(),
                PERCENT * figures.uselessTime(),
                figures.pauseMillis(PERCENTILE));
    }

    private static int cut(Case some, Room room, Rule rule) {
        return run(some, room, rule).stream().mapToInt(LoadFigures::cut).sum();
    }

    private static void assertBudgetKept(Case some, Room room) {
        run(some, room, Rule.KEEP_HOLDER)
                .forEach(f -> assertThat("part of the budget", f.mostUsed(), lessThan(1.0)));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void noStreamIsCut(Case some) {
        assertThat(cut(some, Room.AMPLE, Rule.KEEP_HOLDER), equalTo(0));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void theBudgetIsKept(Case some) {
        assertBudgetKept(some, Room.AMPLE);
    }

    @ParameterizedTest
    @MethodSource("someSilent")
    void enginesSpendLittleTimeOnAttemptsThatDeliverNothing(Case some) {
        assertLittleUselessTime(some);
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("allSilent")
    void enginesSpendLittleTimeOnSuchAttemptsWhenAllWereSilent(Case all) {
        assertLittleUselessTime(all);
    }

    private static void assertLittleUselessTime(Case some) {
        run(some, Room.AMPLE, Rule.KEEP_HOLDER)
                .forEach(f -> assertThat(f.uselessTime(), lessThanOrEqualTo(MAX_THROWN_AWAY)));
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("faults")
    void fewAttemptsAreCancelledAfterTheyHadBegun(Case some) {
        run(some, Room.AMPLE, Rule.KEEP_HOLDER)
                .forEach(f -> assertThat(f.thrownAway(), lessThanOrEqualTo(MAX_THROWN_AWAY)));
    }

    @ParameterizedTest
    @MethodSource("nodes")
    void pausesAreNoLongerWithoutFaults(int nodes) {
        Case calm = new Case(nodes, 0);
        List<LoadFigures> now = run(calm, Room.NO_FAULTS, Rule.KEEP_HOLDER);
        List<LoadFigures> before = run(calm, Room.NO_FAULTS, Rule.CANCEL_HOLDER);
        for (int i = 0; i < now.size(); i++) {
            assertThat(
                    now.get(i).pauseMillis(PERCENTILE),
                    lessThanOrEqualTo(before.get(i).pauseMillis(PERCENTILE)));
            assertThat("streams cut", now.get(i).cut(), equalTo(0));
        }
    }

    @ParameterizedTest
    @MethodSource("faults")
    void noStreamIsCutWhenEnginesHaveLittleRoom(Case some) {
        assertThat(cut(some, Room.TIGHT, Rule.KEEP_HOLDER), equalTo(0));
    }

    /**
     * An engine that ended without closing its connections holds its streams like a silent one,
     * although a budget for lost ones is left.
     */
    @Test
    void noStreamStaysAtAnEngineThatEnded() {
        Load load = new Load(95, 100, Room.TIGHT, Rule.KEEP_HOLDER, SEED_OF_CUTS, TIME_OF_CUTS);
        assertThat(RUN.computeIfAbsent(load, StreamMovesLoadTest::runAndPrint).cut(), equalTo(0));
    }

    @ParameterizedTest
    @MethodSource("nodes")
    void theBudgetIsKeptWhenEnginesHaveLittleRoom(int nodes) {
        assertBudgetKept(new Case(nodes, 50), Room.TIGHT);
    }

    @Test
    void theOldRuleCutsStreamsWhenEnginesHaveLittleRoom() {
        int cut =
                nodes().stream()
                        .mapToInt(n -> cut(new Case(n, 100), Room.TIGHT, Rule.CANCEL_HOLDER))
                        .sum();
        assertThat(cut, greaterThan(0));
    }

    /** Prints the figures of both rules, in a long run. */
    @Test
    void figuresOfBothRules() {
        for (Case some : WHOLE ? faults() : List.<Case>of()) {
            for (Rule rule : Rule.values()) {
                run(some, Room.AMPLE, rule);
                run(some, Room.TIGHT, rule);
            }
        }
    }
}
