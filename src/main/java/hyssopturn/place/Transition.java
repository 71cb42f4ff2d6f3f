package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.port.EngineClient.Holding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Chooses the orders that may be given now on the way to a plan; pure.
 *
 * <p>An engine with room loads before it unloads. A last ready copy of what is served is never
 * unloaded, nor a copy on an engine with work until the wish to do so is overdue. Loads together
 * stay within the budget of the weight store, but for the first.
 */
final class Transition {
    private final Limits limits;
    private final Coverage coverage;
    private final Set<ModelId> served;
    private long inFlightBytes;

    /**
     * What bounds the orders.
     *
     * @param layerBytes size of a layer of a model, in bytes
     * @param budgetBytes greatest size of all loads under way, in bytes
     * @param overdue engines whose unloading has waited long enough for their work to end
     */
    record Limits(ToLongFunction<ModelId> layerBytes, long budgetBytes, Set<InstanceId> overdue) {}

    /** An order that may be given now. */
    record Step(InstanceId engine, List<Holding> holdings) {}

    private Transition(List<Demand> demands, List<Worker> workers, Limits limits) {
        this.limits = limits;
        coverage = Coverage.of(workers);
        served = served(demands, workers, coverage);
        inFlightBytes = workers.stream().mapToLong(w -> bytes(w.loading())).sum();
    }

    static List<Step> steps(Plan plan, List<Demand> demands, List<Worker> workers, Limits limits) {
        Transition transition = new Transition(demands, workers, limits);
        List<Worker> order = new ArrayList<>(workers);
        order.removeIf(w -> !plan.desired().containsKey(w.id()));
        order.sort(
                Comparator.<Worker>comparingInt(w -> transition.holders(plan.desired().get(w.id())))
                        .thenComparing(Worker::id));
        List<Step> steps = new ArrayList<>();
        for (Worker worker : order) {
            transition.step(worker, plan.desired().get(worker.id())).ifPresent(steps::add);
        }
        return steps;
    }

    /** Returns the versions wanted, and one that is held whole in place of each that is not. */
    private static Set<ModelId> served(
            List<Demand> demands, List<Worker> workers, Coverage coverage) {
        Set<ModelId> served = new HashSet<>();
        for (Demand demand : demands) {
            ModelId wanted = demand.model().id();
            LayerRange whole = demand.model().whole();
            served.add(wanted);
            if (!coverage.covers(wanted, whole)) {
                workers.stream()
                        .flatMap(w -> w.held().stream())
                        .map(Holding::model)
                        .filter(m -> m.name().equals(wanted.name()))
                        .filter(m -> coverage.covers(m, whole))
                        .max(
                                Comparator.<ModelId>comparingInt(m -> coverage.lowest(m, whole))
                                        .thenComparing(Comparator.naturalOrder()))
                        .ifPresent(served::add);
            }
        }
        return served;
    }

    private int holders(List<Holding> desired) {
        return desired.stream()
                .mapToInt(h -> coverage.lowest(h.model(), h.layers()))
                .min()
                .orElse(Integer.MAX_VALUE);
    }

    private Optional<Step> step(Worker worker, List<Holding> desired) {
        boolean foreign = !desired.containsAll(worker.loading());
        if (!worker.loading().isEmpty() && !foreign) {
            return Optional.empty();
        }
        List<Holding> missing = without(desired, worker.held());
        List<Holding> extra = without(worker.held(), desired);
        if (missing.isEmpty()) {
            return unload(worker, desired, extra, foreign);
        }
        long bytes = bytes(missing);
        if (inFlightBytes > 0 && inFlightBytes + bytes > limits.budgetBytes()) {
            return Optional.empty();
        }
        List<Holding> both = new ArrayList<>(worker.held());
        both.addAll(missing);
        if (bytes(both) <= worker.memoryBytes()) {
            inFlightBytes += bytes;
            return Optional.of(new Step(worker.id(), both));
        }
        if (mayDrop(worker, extra)) {
            extra.forEach(coverage::remove);
            inFlightBytes += bytes;
            return Optional.of(new Step(worker.id(), desired));
        }
        return foreign ? Optional.of(new Step(worker.id(), worker.held())) : Optional.empty();
    }

    private Optional<Step> unload(
            Worker worker, List<Holding> desired, List<Holding> extra, boolean foreign) {
        if (!extra.isEmpty() && mayDrop(worker, extra)) {
            extra.forEach(coverage::remove);
            return Optional.of(new Step(worker.id(), desired));
        }
        return foreign ? Optional.of(new Step(worker.id(), worker.held())) : Optional.empty();
    }

    private boolean mayDrop(Worker worker, List<Holding> holdings) {
        if (worker.busy() && !limits.overdue().contains(worker.id())) {
            return false;
        }
        return holdings.stream()
                .filter(h -> served.contains(h.model()))
                .allMatch(h -> coverage.lowest(h.model(), h.layers()) > 1);
    }

    private static List<Holding> without(List<Holding> all, List<Holding> some) {
        return all.stream().filter(h -> !some.contains(h)).toList();
    }

    private long bytes(List<Holding> holdings) {
        return holdings.stream()
                .mapToLong(h -> h.layers().size() * limits.layerBytes().applyAsLong(h.model()))
                .sum();
    }
}
