package hyssopturn.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.fail;

import hyssopturn.model.AnswerEvent;
import hyssopturn.port.EngineClient.Step;
import hyssopturn.port.Instance;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * Runs random requests and faults; the checks use only the journals of engines and the answers.
 *
 * <p>A longer run: {@code mvn -o -B test -Dtest=StreamFuzzTest -Djqwik.tries.default=20000}.
 */
class StreamFuzzTest {
    private static final int MAX_OPS = 40;
    private static final int MUTANT_SEEDS = 60;
    private static final int REPLAY_INTERVAL = 4;

    @Property(seed = "41")
    void everyAnswerIsCompleteWhileOneEngineIsHealthy(
            @ForAll long seed, @ForAll("scenarios") List<FaultScenario.Op> ops) {
        FaultScenario.play(seed, ops, true, new Noise(seed));
    }

    @Property(seed = "42")
    void everyOutcomeIsCorrectWhenAllEnginesMayFail(
            @ForAll long seed, @ForAll("scenarios") List<FaultScenario.Op> ops) {
        FaultScenario.play(seed, ops, false, new Noise(seed));
    }

    @Test
    void duplicateAnswerIsIgnoredWhileTheNextStageWaitsForAnEngine() {
        FaultScenario.play(
                2066, FaultScenario.randomOps(2066, MAX_OPS), false, UnaryOperator.identity());
    }

    @Provide
    Arbitrary<List<FaultScenario.Op>> scenarios() {
        Arbitrary<FaultScenario.Op> op =
                Combinators.combine(
                                Arbitraries.of(FaultScenario.Kind.class),
                                Arbitraries.integers().between(0, 999),
                                Arbitraries.integers().between(0, 120))
                        .as(FaultScenario.Op::new);
        return op.list().ofMinSize(4).ofMaxSize(MAX_OPS);
    }

    /** Delivers answers repeatedly, late, out of order and to other runs. */
    private static final class Noise implements UnaryOperator<RunMachine> {
        private final List<RunEvent.Answered> seen = new ArrayList<>();
        private final SplittableRandom random;

        Noise(long seed) {
            random = new SplittableRandom(seed);
        }

        @Override
        public RunMachine apply(RunMachine machine) {
            return (event, now) -> {
                List<RunAction> actions = new ArrayList<>(machine.on(event, now));
                if (event instanceof RunEvent.Answered answered) {
                    seen.add(answered);
                }
                if (!seen.isEmpty() && random.nextInt(REPLAY_INTERVAL) == 0) {
                    RunEvent again = seen.get(random.nextInt(seen.size()));
                    actions.addAll(machine.on(again, now));
                }
                return actions;
            };
        }
    }

    @Nested
    class Mutant {
        private static void assertCaught(UnaryOperator<RunMachine> mutant) {
            for (int seed = 0; seed < MUTANT_SEEDS; seed++) {
                try {
                    FaultScenario.play(seed, FaultScenario.randomOps(seed, MAX_OPS), true, mutant);
                } catch (AssertionError e) {
                    return;
                }
            }
            fail("the checks did not detect the mutant");
        }

        @Test
        void unmodifiedMachinePassesTheChecks() {
            for (int seed = 0; seed < MUTANT_SEEDS; seed++) {
                SimulatedCluster cluster =
                        FaultScenario.play(
                                seed,
                                FaultScenario.randomOps(seed, MAX_OPS),
                                true,
                                UnaryOperator.identity());
                assertThat(cluster.openRuns(), is(0));
            }
        }

        @Test
        void wrongLayerOrderIsCaught() {
            assertCaught(StagesSwapped::new);
        }

        @Test
        void ignoredAttemptNumberIsCaught() {
            assertCaught(AttemptIgnored::new);
        }

        @Test
        void skippedTokenIsCaught() {
            assertCaught(TokenSkipped::new);
        }

        @Test
        void answerToTheWrongStreamIsCaught() {
            AtomicReference<String> shared = new AtomicReference<>("");
            assertCaught(machine -> new WrongStream(machine, shared));
        }

        @Test
        void missingEndIsCaught() {
            assertCaught(
                    machine ->
                            (event, now) -> {
                                List<RunAction> actions = new ArrayList<>(machine.on(event, now));
                                actions.removeIf(
                                        a -> a instanceof RunAction.Emit(AnswerEvent.End end));
                                return actions;
                            });
        }
    }

    private static List<RunAction> mapped(
            List<RunAction> actions, UnaryOperator<RunAction> change) {
        return new ArrayList<>(actions.stream().map(change).toList());
    }

    /** Swaps the engines of the first two stages once both are known. */
    private record StagesSwapped(RunMachine machine, Map<Integer, RunAction.Send> known)
            implements RunMachine {
        StagesSwapped(RunMachine machine) {
            this(machine, new HashMap<>());
        }

        @Override
        public List<RunAction> on(RunEvent event, long now) {
            return mapped(machine.on(event, now), this::swapped);
        }

        private RunAction swapped(RunAction action) {
            if (!(action instanceof RunAction.Send send) || send.call().stage() > 1) {
                return action;
            }
            if (send.call().count() > 1) {
                known.put(send.call().stage(), send);
                return action;
            }
            RunAction.Send other = known.get(1 - send.call().stage());
            return other == null ? send : sentTo(other.engine(), send, other.step());
        }

        private static RunAction.Send sentTo(Instance engine, RunAction.Send send, Step like) {
            Step step = send.step();
            return new RunAction.Send(
                    send.call(),
                    engine,
                    new Step(
                            step.request(),
                            step.attempt(),
                            step.model(),
                            like.layers(),
                            step.position(),
                            step.count(),
                            step.input(),
                            step.prefix(),
                            0),
                    send.dial());
        }
    }

    /** Treats an answer of an earlier attempt as the awaited one. */
    private static final class AttemptIgnored implements RunMachine {
        private final RunMachine machine;
        private StepCall latest;

        AttemptIgnored(RunMachine machine) {
            this.machine = machine;
        }

        @Override
        public List<RunAction> on(RunEvent event, long now) {
            List<RunAction> actions = machine.on(withLatestCall(event), now);
            for (RunAction action : actions) {
                if (action instanceof RunAction.Send send) {
                    latest = send.call();
                }
            }
            return actions;
        }

        private RunEvent withLatestCall(RunEvent event) {
            return event instanceof RunEvent.Answered(StepCall call, var result)
                            && latest != null
                            && call.attempt() != latest.attempt()
                            && call.position() == latest.position()
                    ? new RunEvent.Answered(latest, result)
                    : event;
        }
    }

    /** Drops the third token and renumbers the following ones without a gap. */
    private record TokenSkipped(RunMachine machine) implements RunMachine {
        private static final int SKIPPED = 2;

        @Override
        public List<RunAction> on(RunEvent event, long now) {
            List<RunAction> actions = mapped(machine.on(event, now), TokenSkipped::renumbered);
            actions.removeIf(
                    a -> a instanceof RunAction.Emit(AnswerEvent.Token token) && token.index() < 0);
            return actions;
        }

        private static RunAction renumbered(RunAction action) {
            if (!(action instanceof RunAction.Emit(AnswerEvent.Token(int index, String text)))) {
                return action;
            }
            int shown = index == SKIPPED ? -1 : index < SKIPPED ? index : index - 1;
            return new RunAction.Emit(new AnswerEvent.Token(shown, text));
        }
    }

    /** Sends each caller the previous token of any caller. */
    private record WrongStream(RunMachine machine, AtomicReference<String> last)
            implements RunMachine {
        @Override
        public List<RunAction> on(RunEvent event, long now) {
            return mapped(machine.on(event, now), this::swapped);
        }

        private RunAction swapped(RunAction action) {
            if (!(action instanceof RunAction.Emit(AnswerEvent.Token(int index, String text)))) {
                return action;
            }
            String before = last.getAndSet(text);
            String sent = before.isEmpty() ? text : before;
            return new RunAction.Emit(new AnswerEvent.Token(index, sent));
        }
    }
}
