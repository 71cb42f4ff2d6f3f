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
 * Chooses the orders that may be sent now to move towards a plan, without side effects.
 *
 * <p>An engine with enough memory loads before it unloads. The last ready copy of a served version
 * is never unloaded, and an engine with requests unloads only once the unloading is overdue. All
 * loads together stay within the budget of the weight store, except that one load may always start.
 */
final class Transition {
    private final Limits limits;
    private final Coverage coverage;
    private final Set<ModelId> served;
    private long inFlightBytes;

    /**
     * Limits of the orders.
     *
     * @param layerBytes size of a layer of a model, in bytes
     * @param budgetBytes maximum size of all loads in progress, in bytes
     * @param overdue engines that have waited long enough to unload even while they have requests
     */
    record Limits(ToLongFunction<ModelId> layerBytes, long budgetBytes, Set<InstanceId> overdue) {}

    /** An order that may be sent now. */
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
                Comparator.<Worker>comparingInt(
                                w -> transition.minHolders(plan.desired().get(w.id())))
                        .thenComparing(Worker::id));
        List<Step> steps = new ArrayList<>();
        for (Worker worker : order) {
            transition.step(worker, plan.desired().get(worker.id())).ifPresent(steps::add);
        }
        return steps;
    }

    /**
     * Returns the demanded versions, and for each that is not fully covered another version of the
     * model that is.
     */
    private static Set<ModelId> served(
            List<Demand> demands, List<Worker> workers, Coverage coverage) {
        Set<ModelId> served = new HashSet<>();
        for (Demand demand : demands) {
            ModelId demanded = demand.model().id();
            LayerRange whole = demand.model().whole();
            served.add(demanded);
            if (!coverage.covers(demanded, whole)) {
                workers.stream()
                        .flatMap(w -> w.held().stream())
                        .map(Holding::model)
                        .filter(m -> m.name().equals(demanded.name()))
                        .filter(m -> coverage.covers(m, whole))
                        .max(
                                Comparator.<ModelId>comparingInt(m -> coverage.minHolders(m, whole))
                                        .thenComparing(Comparator.naturalOrder()))
                        .ifPresent(served::add);
            }
        }
        return served;
    }

    /** Returns the lowest number of holders of any desired layer. */
    private int minHolders(List<Holding> desired) {
        return desired.stream()
                .mapToInt(h -> coverage.minHolders(h.model(), h.layers()))
                .min()
                .orElse(Integer.MAX_VALUE);
    }

    private Optional<Step> step(Worker worker, List<Holding> desired) {
        boolean loadsUndesired = !desired.containsAll(worker.loading());
        if (!worker.loading().isEmpty() && !loadsUndesired) {
            return Optional.empty();
        }
        List<Holding> missing = without(desired, worker.held());
        List<Holding> extra = without(worker.held(), desired);
        if (missing.isEmpty()) {
            return unload(worker, desired, extra, loadsUndesired);
        }
        long bytes = bytes(missing);
        if (inFlightBytes > 0 && inFlightBytes + bytes > limits.budgetBytes()) {
            return Optional.empty();
        }
        List<Holding> combined = new ArrayList<>(worker.held());
        combined.addAll(missing);
        if (bytes(combined) <= worker.memoryBytes()) {
            inFlightBytes += bytes;
            return Optional.of(new Step(worker.id(), combined));
        }
        if (mayUnload(worker, extra)) {
            extra.forEach(coverage::remove);
            inFlightBytes += bytes;
            return Optional.of(new Step(worker.id(), desired));
        }
        return loadsUndesired
                ? Optional.of(new Step(worker.id(), worker.held()))
                : Optional.empty();
    }

    private Optional<Step> unload(
            Worker worker, List<Holding> desired, List<Holding> extra, boolean loadsUndesired) {
        if (!extra.isEmpty() && mayUnload(worker, extra)) {
            extra.forEach(coverage::remove);
            return Optional.of(new Step(worker.id(), desired));
        }
        return loadsUndesired
                ? Optional.of(new Step(worker.id(), worker.held()))
                : Optional.empty();
    }

    private boolean mayUnload(Worker worker, List<Holding> holdings) {
        if (worker.busy() && !limits.overdue().contains(worker.id())) {
            return false;
        }
        return holdings.stream()
                .filter(h -> served.contains(h.model()))
                .allMatch(h -> coverage.minHolders(h.model(), h.layers()) > 1);
    }

    private static List<Holding> without(List<Holding> holdings, List<Holding> excluded) {
        return holdings.stream().filter(h -> !excluded.contains(h)).toList();
    }

    private long bytes(List<Holding> holdings) {
        return holdings.stream()
                .mapToLong(h -> h.layers().size() * limits.layerBytes().applyAsLong(h.model()))
                .sum();
    }
}
