package hyssopturn.ledger;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import hyssopturn.model.Outcome;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;

import java.time.Duration;
import java.util.List;

class AtMostOnceFuzzTest {
    private static final int STEPS = 60;
    private static final int KEYS = 6;

    private static int done;
    private static int notRun;
    private static int unknown;
    private static int neverReady;

    static Arbitrary<List<Step>> scripts() {
        Arbitrary<Integer> node = Arbitraries.integers().between(0, LedgerWorld.NODES - 1);
        Arbitrary<Integer> key = Arbitraries.integers().between(0, KEYS - 1);
        Arbitrary<Integer> body = Arbitraries.frequency(Tuple.of(9, 0), Tuple.of(1, 1));
        Arbitrary<Duration> brief = Arbitraries.integers().between(1, 400).map(Duration::ofMillis);
        Arbitrary<Duration> longer = Arbitraries.integers().between(1, 45).map(Duration::ofSeconds);
        Arbitrary<Integer> few = Arbitraries.integers().between(1, 4);
        Arbitrary<Step> call =
                node.flatMap(n -> key.flatMap(k -> body.map(b -> new Step.Call(n, k, b))));
        Arbitrary<Step> step =
                Arbitraries.frequencyOf(
                        Tuple.of(40, call),
                        Tuple.of(25, brief.map(Step.Pass::new)),
                        Tuple.of(10, longer.map(Step.Pass::new)),
                        Tuple.of(2, node.map(Step.Kill::new)),
                        Tuple.of(3, node.map(Step.Pause::new)),
                        Tuple.of(3, node.map(Step.PauseAtSend::new)),
                        Tuple.of(6, node.map(Step.Resume::new)),
                        Tuple.of(2, Arbitraries.just(new Step.LogDown(true))),
                        Tuple.of(4, Arbitraries.just(new Step.LogDown(false))),
                        Tuple.of(4, few.map(Step.LoseAppendAnswers::new)),
                        Tuple.of(4, node.flatMap(n -> longer.map(by -> new Step.LandLate(n, by)))),
                        Tuple.of(2, few.map(Step.LoseReads::new)),
                        Tuple.of(
                                3,
                                Arbitraries.of(0, 5, 300, 2_500)
                                        .map(Duration::ofMillis)
                                        .map(Step.Latency::new)),
                        Tuple.of(4, Arbitraries.just(new Step.LoseServiceAnswer())),
                        Tuple.of(1, Arbitraries.just(new Step.ServiceDraining(true))),
                        Tuple.of(3, Arbitraries.just(new Step.ServiceDraining(false))),
                        Tuple.of(1, few.map(Step.TruncateHard::new)));
        return step.list().ofMinSize(10).ofMaxSize(STEPS);
    }

    @Provide
    Arbitrary<List<Step>> runs() {
        return scripts();
    }

    static LedgerWorld run(List<Step> steps, Flaw flaw) {
        LedgerWorld world = new LedgerWorld(flaw);
        steps.forEach(world::run);
        AtMostOnceOracle.check(world);
        world.heal();
        AtMostOnceOracle.check(world);
        AtMostOnceOracle.checkHealed(world);
        return world;
    }

    @Property(tries = 600, seed = "20261204")
    void everyCallRunsAtMostOnceAndAnswersAreTrue(@ForAll("runs") List<Step> steps) {
        LedgerWorld world = run(steps, Flaw.NONE);
        for (LedgerWorld.Asked asked : world.asked) {
            done += asked.ended(Outcome.DONE) ? 1 : 0;
            notRun += asked.ended(Outcome.NOT_RUN) ? 1 : 0;
            unknown += asked.ended(Outcome.UNKNOWN) ? 1 : 0;
        }
        neverReady += world.readyNode().isEmpty() ? 1 : 0;
    }

    @AfterContainer
    static void everyOutcomeOccurred() {
        System.out.println(
                "fuzz done=%d not-run=%d unknown=%d never-ready=%d"
                        .formatted(done, notRun, unknown, neverReady));
        assertThat(done, greaterThan(0));
        assertThat(notRun, greaterThan(0));
        assertThat(unknown, greaterThan(0));
    }
}
