package hyssopturn.run;

import hyssopturn.member.View;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelSpec;
import hyssopturn.route.Chain;
import hyssopturn.route.Routes;
import hyssopturn.route.Routes.CoverQuery;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Decides when to move cached state off an engine that is leaving but still answers. */
final class MovePlanner {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    /** Least predicted time to the end of a run for which a move is started. */
    private static final Duration MIN_REMAINING_TIME = Duration.ofSeconds(1);

    private final Routes routes;
    private final ModelSpec model;
    private final RunSettings settings;
    private final Map<InstanceId, Long> absentSince = new HashMap<>();
    private final Set<InstanceId> unmovable = new HashSet<>();
    private long checkedNanos;
    private boolean checked;
    private Move pending;

    MovePlanner(Routes routes, ModelSpec model, RunSettings settings) {
        this.routes = routes;
        this.model = model;
        this.settings = settings;
    }

    /**
     * A move of one stage.
     *
     * @param attempt attempt that will use the moved state
     * @param stage index of the stage
     * @param from stage at the engine that holds the state
     * @param to stage at the engine that receives the state
     */
    record Move(int attempt, int stage, RunStage from, Chain.Stage to) {
        LayerRange layers() {
            return from.layers();
        }
    }

    /** Returns the move that was started last. */
    Move pending() {
        return pending;
    }

    /**
     * Records that the pending move failed; its stage stays at its engine for the rest of the run.
     */
    void moveFailed() {
        unmovable.add(pending.from().engine());
    }

    /** Returns the move to start now, if there is one. */
    Optional<Move> next(
            RunProgress progress,
            View view,
            int tokensLeft,
            int attempt,
            Set<InstanceId> avoid,
            long now) {
        if (checked && now - checkedNanos < CHECK_INTERVAL.toNanos()) {
            return Optional.empty();
        }
        checked = true;
        checkedNanos = now;
        updateAbsences(progress, view, now);
        if (absentSince.isEmpty()
                || tokensLeft * tokenNanos(progress) < MIN_REMAINING_TIME.toNanos()) {
            return Optional.empty();
        }
        for (int stage = 0; stage < progress.stages().size(); stage++) {
            Optional<Move> move = move(progress, view, stage, attempt, avoid, now);
            if (move.isPresent()) {
                pending = move.get();
                return move;
            }
        }
        return Optional.empty();
    }

    private void updateAbsences(RunProgress progress, View view, long now) {
        Set<InstanceId> present =
                view.engines().stream().map(e -> e.instance().id()).collect(Collectors.toSet());
        absentSince.keySet().removeAll(present);
        progress.stages().stream()
                .map(RunStage::engine)
                .filter(id -> !present.contains(id))
                .forEach(id -> absentSince.putIfAbsent(id, now));
    }

    private double tokenNanos(RunProgress progress) {
        return progress.stages().stream().mapToDouble(p -> routes.nanos(p.stage(), 1)).sum();
    }

    private Optional<Move> move(
            RunProgress progress,
            View view,
            int stage,
            int attempt,
            Set<InstanceId> avoid,
            long now) {
        RunStage current = progress.stages().get(stage);
        Long since = absentSince.get(current.engine());
        boolean due = since != null && now - since >= settings.moveDelay().toNanos();
        if (!due || unmovable.contains(current.engine())) {
            return Optional.empty();
        }
        Set<InstanceId> excluded = new HashSet<>(avoid);
        excluded.addAll(progress.enginesExcept(-1));
        return routes.cover(new CoverQuery(model.id(), current.layers(), 1), view, excluded)
                .filter(cover -> cover.stages().size() == 1)
                .map(cover -> new Move(attempt, stage, current, cover.stages().getFirst()));
    }
}
