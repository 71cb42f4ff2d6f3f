package hyssopturn.run;

import hyssopturn.member.View;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelSpec;
import hyssopturn.route.Chain;
import hyssopturn.route.Routes;
import hyssopturn.route.Routes.Want;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Decides when cached state moves away from an engine that leaves while it still answers. */
final class Moves {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    /** Least time that a run must have left for a move to be worth it. */
    private static final Duration WORTH = Duration.ofSeconds(1);

    private final Routes routes;
    private final ModelSpec model;
    private final RunSettings settings;
    private final Map<InstanceId, Long> absentSince = new HashMap<>();
    private final Set<InstanceId> staying = new HashSet<>();
    private long checkedNanos;
    private boolean checked;
    private Move pending;

    Moves(Routes routes, ModelSpec model, RunSettings settings) {
        this.routes = routes;
        this.model = model;
        this.settings = settings;
    }

    /**
     * A move of one stage.
     *
     * @param attempt attempt that will use the moved state
     * @param stage index of the stage
     * @param from where its state is
     * @param to where it shall be
     */
    record Move(int attempt, int stage, Place from, Chain.Stage to) {
        LayerRange layers() {
            return from.layers();
        }
    }

    Move pending() {
        return pending;
    }

    /** Notes that the last move failed; the stage stays where it is. */
    void refused() {
        staying.add(pending.from().engine());
    }

    Optional<Move> due(
            Lineage lineage,
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
        note(lineage, view, now);
        if (absentSince.isEmpty() || tokensLeft * wave(lineage) < WORTH.toNanos()) {
            return Optional.empty();
        }
        for (int stage = 0; stage < lineage.places().size(); stage++) {
            Optional<Move> move = move(lineage, view, stage, attempt, avoid, now);
            if (move.isPresent()) {
                pending = move.get();
                return move;
            }
        }
        return Optional.empty();
    }

    private void note(Lineage lineage, View view, long now) {
        Set<InstanceId> present =
                view.engines().stream().map(e -> e.instance().id()).collect(Collectors.toSet());
        absentSince.keySet().removeAll(present);
        lineage.places().stream()
                .map(Place::engine)
                .filter(id -> !present.contains(id))
                .forEach(id -> absentSince.putIfAbsent(id, now));
    }

    private double wave(Lineage lineage) {
        return lineage.places().stream().mapToDouble(p -> routes.nanos(p.stage(), 1)).sum();
    }

    private Optional<Move> move(
            Lineage lineage, View view, int stage, int attempt, Set<InstanceId> avoid, long now) {
        Place place = lineage.places().get(stage);
        Long since = absentSince.get(place.engine());
        boolean due = since != null && now - since >= settings.moveAfter().toNanos();
        if (!due || staying.contains(place.engine())) {
            return Optional.empty();
        }
        Set<InstanceId> shunned = new HashSet<>(avoid);
        shunned.addAll(lineage.enginesBut(-1));
        return routes.cover(new Want(model.id(), place.layers(), 1), view, shunned)
                .filter(cover -> cover.stages().size() == 1)
                .map(cover -> new Move(attempt, stage, place, cover.stages().getFirst()));
    }
}
