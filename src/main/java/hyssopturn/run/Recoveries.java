package hyssopturn.run;

import hyssopturn.member.View;
import hyssopturn.model.InstanceId;
import hyssopturn.model.ModelSpec;
import hyssopturn.route.Chain;
import hyssopturn.route.Routes;
import hyssopturn.route.Routes.Want;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Finds the recovery that gives the next token soonest. */
final class Recoveries {
    private final Routes routes;
    private final ModelSpec model;

    Recoveries(Routes routes, ModelSpec model) {
        this.routes = routes;
        this.model = model;
    }

    /**
     * A way to go on.
     *
     * @param recovery what it does
     * @param places the new stages
     * @param cursor stage that runs next
     * @param nanos predicted time to the next token, in nanoseconds
     * @param layerTokens layers times tokens that run again
     */
    record Plan(
            Recovery recovery, List<Place> places, int cursor, double nanos, long layerTokens) {}

    /** Finds the quickest way to go on without the current stage's engine. */
    Optional<Plan> best(Lineage lineage, View view, Set<InstanceId> avoid) {
        return Stream.of(replace(lineage, view, avoid), restart(lineage, view, avoid))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Plan::nanos));
    }

    private Optional<Plan> replace(Lineage lineage, View view, Set<InstanceId> avoid) {
        Set<InstanceId> shunned = new HashSet<>(avoid);
        shunned.addAll(lineage.enginesBut(lineage.cursor()));
        Want want = new Want(model.id(), lineage.current().layers(), lineage.end());
        return routes.cover(want, view, shunned).map(cover -> spliced(lineage, cover));
    }

    private Plan spliced(Lineage lineage, Chain cover) {
        int lost = lineage.cursor();
        int first = firstReplayable(lineage);
        List<Place> places = new ArrayList<>(lineage.places().subList(0, first));
        lineage.places().subList(first, lost).forEach(p -> places.add(p.with(0)));
        cover.stages().forEach(s -> places.add(new Place(s, 0)));
        places.addAll(lineage.places().subList(lost + 1, lineage.places().size()));
        long again = 0;
        for (Place place : lineage.places().subList(first, lost + 1)) {
            again += layerTokens(place);
        }
        return new Plan(
                Recovery.REPLACE, places, first, nanos(places, first, lineage.end()), again);
    }

    private static int firstReplayable(Lineage lineage) {
        int stage = lineage.cursor();
        while (!lineage.replayable(stage)) {
            stage--;
        }
        return stage;
    }

    private static long layerTokens(Place place) {
        return (long) place.layers().size() * place.have();
    }

    private Optional<Plan> restart(Lineage lineage, View view, Set<InstanceId> avoid) {
        Want want = new Want(model.id(), model.whole(), lineage.end());
        long again = lineage.places().stream().mapToLong(Recoveries::layerTokens).sum();
        return routes.cover(want, view, avoid)
                .map(chain -> chain.stages().stream().map(s -> new Place(s, 0)).toList())
                .map(
                        places ->
                                new Plan(
                                        Recovery.RESTART,
                                        places,
                                        0,
                                        nanos(places, 0, lineage.end()),
                                        again));
    }

    private double nanos(List<Place> places, int from, int end) {
        double sum = 0;
        for (Place place : places.subList(from, places.size())) {
            sum += routes.nanos(place.stage(), Math.max(1, end - place.have()));
        }
        return sum;
    }
}
