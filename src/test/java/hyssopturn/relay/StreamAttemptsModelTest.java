package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import com.google.common.flogger.FluentLogger;

import hyssopturn.relay.StreamWorld.Rule;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Walks orders of what happens to two streams at three engines with a retry budget of two.
 *
 * <p>By hand, longer: {@code -Dhyssopturn.model.sequences=1000000 -Dhyssopturn.model.depth=4}.
 */
class StreamAttemptsModelTest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int SEQUENCES = Integer.getInteger("hyssopturn.model.sequences", 10_000);

    /** Number of steps of the sequences that are walked exhaustively. */
    private static final int DEPTH = Integer.getInteger("hyssopturn.model.depth", 3);

    private static final int MAX_STEPS = 40;
    private static final long SEED = 47;

    /** Number of times that an event is drawn for each other step. */
    private static final int EVENT_WEIGHT = 3;

    private static final List<ModelStep> STEPS =
            ModelStep.all(StreamModel.ENGINES, StreamModel.STREAMS);

    private static final List<ModelStep> WEIGHTED = weighted();

    /** Steps before those that are walked: no stream, one and both began; one engine is silent. */
    private static final List<List<ModelStep>> STARTS =
            List.of(
                    List.of(),
                    List.of(new ModelStep.Event(0, 0)),
                    List.of(new ModelStep.Event(0, 0), new ModelStep.Event(1, 1)),
                    List.of(
                            new ModelStep.Event(0, 0),
                            new ModelStep.Event(1, 1),
                            new ModelStep.Silence(0)));

    private static List<ModelStep> weighted() {
        List<ModelStep> steps = new ArrayList<>();
        for (ModelStep step : STEPS) {
            int weight = step instanceof ModelStep.Event ? EVENT_WEIGHT : 1;
            for (int i = 0; i < weight; i++) {
                steps.add(step);
            }
        }
        return List.copyOf(steps);
    }

    @Provide
    Arbitrary<List<ModelStep>> sequences() {
        Arbitrary<ModelStep> other =
                Arbitraries.of(
                        STEPS.stream().filter(s -> !(s instanceof ModelStep.Event)).toList());
        Arbitrary<ModelStep> event =
                Arbitraries.of(STEPS.stream().filter(ModelStep.Event.class::isInstance).toList());
        return Arbitraries.frequencyOf(Tuple.of(3, other), Tuple.of(2, event))
                .list()
                .ofMaxSize(MAX_STEPS);
    }

    /** A sequence that was run. */
    private record Walk(StreamModel model, Optional<ModelFault> fault) {
        static Walk of(Rule rule, List<ModelStep> steps) {
            StreamModel model = new StreamModel(rule);
            try {
                steps.forEach(model::run);
                model.heal();
                return new Walk(model, Optional.empty());
            } catch (ModelFault fault) {
                return new Walk(model, Optional.of(fault));
            }
        }

        boolean breaks(ModelFault.Kind kind) {
            return fault.filter(f -> f.kind() == kind).isPresent();
        }
    }

    private static void assertNoFault(Walk walk, List<ModelStep> steps) {
        walk.fault()
                .ifPresent(
                        fault -> {
                            var shortest = shorten(Rule.KEEP_HOLDER, steps, fault.kind());
                            throw new AssertionError("after " + shortest, fault);
                        });
    }

    private static List<ModelStep> draw(SplittableRandom random) {
        List<ModelStep> steps = new ArrayList<>();
        for (int i = random.nextInt(MAX_STEPS) + 1; i > 0; i--) {
            steps.add(WEIGHTED.get(random.nextInt(WEIGHTED.size())));
        }
        return steps;
    }

    /** Leaves out steps as long as the same rule stays broken. */
    private static List<ModelStep> shorten(Rule rule, List<ModelStep> steps, ModelFault.Kind kind) {
        for (int i = 0; i < steps.size(); i++) {
            List<ModelStep> shorter = new ArrayList<>(steps);
            shorter.remove(i);
            if (Walk.of(rule, shorter).breaks(kind)) {
                return shorten(rule, shorter, kind);
            }
        }
        return steps;
    }

    @Property(tries = 10_000, seed = "47")
    void noOrderBreaksARule(@ForAll("sequences") List<ModelStep> steps) {
        assertNoFault(Walk.of(Rule.KEEP_HOLDER, steps), steps);
    }

    @Test
    void noDrawnSequenceBreaksARule() {
        SplittableRandom random = new SplittableRandom(SEED);
        Map<StreamWorld.Outcome, Integer> outcomes = new EnumMap<>(StreamWorld.Outcome.class);
        Map<ModelFault.Kind, List<List<ModelStep>>> faults = new EnumMap<>(ModelFault.Kind.class);
        for (int i = 0; i < SEQUENCES; i++) {
            List<ModelStep> steps = draw(random);
            Walk walk = Walk.of(Rule.KEEP_HOLDER, steps);
            walk.fault()
                    .ifPresent(
                            f ->
                                    faults.computeIfAbsent(f.kind(), k -> new ArrayList<>())
                                            .add(steps));
            for (ModelStream stream : walk.model().streams()) {
                stream.outcome().ifPresent(how -> outcomes.merge(how, 1, Integer::sum));
            }
        }
        logger.atInfo().log("%d sequences, streams ended: %s", SEQUENCES, outcomes);
        assertThat(describe(faults), faults.keySet(), empty());
        assertThat(outcomes.keySet(), hasSize(StreamWorld.Outcome.values().length));
    }

    private static String describe(Map<ModelFault.Kind, List<List<ModelStep>>> faults) {
        StringBuilder text = new StringBuilder();
        faults.forEach(
                (kind, found) ->
                        text.append(
                                "%s %d times, such as %s; "
                                        .formatted(
                                                kind,
                                                found.size(),
                                                shorten(
                                                        Rule.KEEP_HOLDER,
                                                        found.getFirst(),
                                                        kind))));
        return text.toString();
    }

    /** A retry was paid for, not sent since its engine was gone, and sent much later. */
    @Test
    void budgetIsKeptWhenAPaidRetryIsSentLater() {
        List<ModelStep> steps =
                List.of(
                        new ModelStep.Event(1, 1),
                        new ModelStep.Refusal(0),
                        new ModelStep.Event(1, 0),
                        new ModelStep.Stop(2),
                        new ModelStep.Stop(0),
                        new ModelStep.Stop(1),
                        new ModelStep.Pass(Duration.ofSeconds(1)),
                        new ModelStep.Stop(1),
                        new ModelStep.Pass(Duration.ofSeconds(1)),
                        new ModelStep.End(1, 1));
        assertNoFault(Walk.of(Rule.KEEP_HOLDER, steps), steps);
    }

    /** The attempt beside the holder was cancelled in the step that opened another one. */
    @Test
    void noStreamEndsThatAReplacedAttemptWouldFinish() {
        List<ModelStep> steps =
                List.of(
                        new ModelStep.Silence(0),
                        new ModelStep.GoOn(0),
                        new ModelStep.Pass(Duration.ofSeconds(11)),
                        new ModelStep.Silence(1),
                        new ModelStep.Stop(0));
        assertNoFault(Walk.of(Rule.KEEP_HOLDER, steps), steps);
    }

    @Test
    void noShortOrderBreaksARule() {
        long walked = 0;
        for (List<ModelStep> start : STARTS) {
            walked += walk(start, DEPTH);
        }
        logger.atInfo().log("%d orders of at most %d steps after a start", walked, DEPTH);
        assertThat(walked, greaterThanOrEqualTo(10_000L));
    }

    /** Walks all sequences that begin with some steps; a step that does not apply ends one. */
    private static long walk(List<ModelStep> steps, int left) {
        assertNoFault(Walk.of(Rule.KEEP_HOLDER, steps), steps);
        long walked = 1;
        for (ModelStep step : left == 0 ? List.<ModelStep>of() : STEPS) {
            if (applies(step, steps)) {
                List<ModelStep> longer = new ArrayList<>(steps);
                longer.add(step);
                walked += walk(longer, left - 1);
            }
        }
        return walked;
    }

    private static boolean applies(ModelStep step, List<ModelStep> after) {
        StreamModel model = new StreamModel(Rule.KEEP_HOLDER);
        after.forEach(model::run);
        try {
            return model.run(step);
        } catch (ModelFault fault) {
            return true;
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ENDED_THOUGH_RUNNING", "ENDED_THOUGH_POSSIBLE"})
    void theOldRuleEndsStreamsThatAListedEngineWouldFinish(ModelFault.Kind kind) {
        SplittableRandom random = new SplittableRandom(SEED);
        List<List<ModelStep>> found = new ArrayList<>();
        for (int i = 0; i < SEQUENCES; i++) {
            List<ModelStep> steps = draw(random);
            if (Walk.of(Rule.CANCEL_HOLDER, steps).breaks(kind)) {
                found.add(steps);
            }
        }
        assertThat(found, not(empty()));
        List<ModelStep> shortest = shorten(Rule.CANCEL_HOLDER, found.getFirst(), kind);
        logger.atInfo().log(
                "old rule, %s: %d of %d sequences, such as %s",
                kind, found.size(), SEQUENCES, shortest);
        assertThat(Walk.of(Rule.KEEP_HOLDER, shortest).fault(), equalTo(Optional.empty()));
    }
}
