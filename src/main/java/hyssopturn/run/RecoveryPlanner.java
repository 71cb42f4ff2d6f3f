package hyssopturn.run;

import hyssopturn.member.View;
import hyssopturn.model.InstanceId;
import hyssopturn.model.ModelSpec;
import hyssopturn.route.Chain;
import hyssopturn.route.Routes;
import hyssopturn.route.Routes.CoverQuery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Finds the recovery with the shortest predicted time to the next token. */
final class RecoveryPlanner {
    private final Routes routes;
    private final ModelSpec model;

    RecoveryPlanner(Routes routes, ModelSpec model) {
        this.routes = routes;
        this.model = model;
    }

    /**
     * A planned recovery.
     *
     * @param recovery kind of the recovery
     * @param stages the new stages
     * @param cursor index of the stage that runs next
     * @param nanos predicted time to the next token, in nanoseconds
     * @param layerTokens number of layers times tokens that must be recomputed
     */
    record Plan(
            Recovery recovery, List<RunStage> stages, int cursor, double nanos, long layerTokens) {}

    /** Finds the fastest recovery of the current stage without the engines to avoid. */
    Optional<Plan> best(RunProgress progress, View view, Set<InstanceId> avoid) {
        return Stream.of(replace(progress, view, avoid), restart(progress, view, avoid))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Plan::nanos));
    }

    private Optional<Plan> replace(RunProgress progress, View view, Set<InstanceId> avoid) {
        Set<InstanceId> excluded = new HashSet<>(avoid);
        excluded.addAll(progress.enginesExcept(progress.cursor()));
        CoverQuery query = new CoverQuery(model.id(), progress.current().layers(), progress.end());
        return routes.cover(query, view, excluded).map(cover -> spliced(progress, cover));
    }

    private Plan spliced(RunProgress progress, Chain cover) {
        int lost = progress.cursor();
        int first = firstReplayable(progress);
        List<RunStage> stages = new ArrayList<>(progress.stages().subList(0, first));
        progress.stages().subList(first, lost).forEach(p -> stages.add(p.withCachedTokens(0)));
        cover.stages().forEach(s -> stages.add(new RunStage(s, 0)));
        stages.addAll(progress.stages().subList(lost + 1, progress.stages().size()));
        long recomputed = 0;
        for (RunStage stage : progress.stages().subList(first, lost + 1)) {
            recomputed += layerTokens(stage);
        }
        return new Plan(
                Recovery.REPLACE, stages, first, nanos(stages, first, progress.end()), recomputed);
    }

    private static int firstReplayable(RunProgress progress) {
        int stage = progress.cursor();
        while (!progress.replayable(stage)) {
            stage--;
        }
        return stage;
    }

    private static long layerTokens(RunStage stage) {
        return (long) stage.layers().size() * stage.cachedTokens();
    }

    private Optional<Plan> restart(RunProgress progress, View view, Set<InstanceId> avoid) {
        CoverQuery query = new CoverQuery(model.id(), model.whole(), progress.end());
        long recomputed = progress.stages().stream().mapToLong(RecoveryPlanner::layerTokens).sum();
        return routes.cover(query, view, avoid)
                .map(chain -> chain.stages().stream().map(s -> new RunStage(s, 0)).toList())
                .map(
                        stages ->
                                new Plan(
                                        Recovery.RESTART,
                                        stages,
                                        0,
                                        nanos(stages, 0, progress.end()),
                                        recomputed));
    }

    private double nanos(List<RunStage> stages, int from, int end) {
        double sum = 0;
        for (RunStage stage : stages.subList(from, stages.size())) {
            sum += routes.nanos(stage.stage(), Math.max(1, end - stage.cachedTokens()));
        }
        return sum;
    }
}
