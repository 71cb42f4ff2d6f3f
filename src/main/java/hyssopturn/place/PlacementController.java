package hyssopturn.place;

import com.google.common.flogger.FluentLogger;

import hyssopturn.lease.LeaseController;
import hyssopturn.lease.LeaseTiming;
import hyssopturn.member.View;
import hyssopturn.model.Config;
import hyssopturn.model.InstanceId;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Target;
import hyssopturn.model.Work;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Order;
import hyssopturn.port.Instance;
import hyssopturn.port.WeightStore;

import io.micrometer.core.instrument.MeterRegistry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Sends engines the orders that implement the plan while this node holds the lease.
 *
 * <p>Every order carries the lease term as a fencing token and lists everything that the engine
 * must hold. Each round compares the reports of the engines with the plan, so that the effect of an
 * order of an older term that an engine accepted is corrected.
 */
public final class PlacementController {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);
    private static final Duration LATE_ORDER_DELAY = Duration.ofSeconds(10);

    /** Time after which an engine unloads layers although it still has requests. */
    private static final Duration UNLOAD_TIMEOUT = Duration.ofMinutes(1);

    private static final Duration LOAD_WINDOW = Duration.ofSeconds(30);
    private static final Duration MIN_ORDER_INTERVAL = Duration.ofSeconds(5);
    private static final Duration REPLAN_INTERVAL = Duration.ofSeconds(5);
    private static final Duration NO_TARGET = Duration.ofDays(1);

    private final Dependencies dependencies;
    private final LeaseController lease;
    private final LeaseTiming timing;
    private final DemandMeter demandMeter;
    private final Planner planner;
    private final MeterRegistry meters;
    private final LayerTimes layerTimes = new LayerTimes();
    private final Map<ModelId, Long> layerBytes = new HashMap<>();
    private final Map<InstanceId, Long> unloadPendingSince = new HashMap<>();
    private final Map<InstanceId, Long> orderedNanos = new HashMap<>();
    private final Set<InstanceId> termRaised = new HashSet<>();
    private Planned planned = new Planned(PlanInputs.NONE, 0, Plan.EMPTY);
    private Optional<Long> leaseHeldSinceNanos = Optional.empty();
    private volatile long storeBytesPerSecond;
    private volatile boolean stopped;

    private record Planned(PlanInputs inputs, long atNanos, Plan plan) {}

    /**
     * Sources that the controller reads and services that it calls.
     *
     * @param config configuration in force
     * @param view engines and their reports
     * @param engines client that sends the orders
     * @param weights store of weights, which limits the rate of loads
     * @param clock source of time
     */
    public record Dependencies(
            Supplier<Config> config,
            Supplier<View> view,
            EngineClient engines,
            WeightStore weights,
            Clock clock) {}

    /**
     * Creates a controller that has not started.
     *
     * @param dependencies sources and services
     * @param lease lease whose holder sends the orders; provides the term
     * @param timing timing of the lease
     * @param demandMeter demand for each model
     * @param links latency of links between zones
     * @param meters registry of metrics
     */
    public PlacementController(
            Dependencies dependencies,
            LeaseController lease,
            LeaseTiming timing,
            DemandMeter demandMeter,
            Links links,
            MeterRegistry meters) {
        this.dependencies = dependencies;
        this.lease = lease;
        this.timing = timing;
        this.demandMeter = demandMeter;
        this.meters = meters;
        planner = new Planner(links);
    }

    /** Starts the rounds. */
    public void start() {
        dependencies.clock().after(ROUND_INTERVAL, this::round);
    }

    /** Stops the rounds. */
    public void stop() {
        stopped = true;
    }

    private void round() {
        if (stopped) {
            return;
        }
        if (lease.term().isPresent()) {
            reconcile();
        } else {
            reset();
        }
        dependencies.clock().after(ROUND_INTERVAL, this::round);
    }

    private synchronized void reset() {
        leaseHeldSinceNanos = Optional.empty();
        termRaised.clear();
        orderedNanos.clear();
        unloadPendingSince.clear();
        planned = new Planned(PlanInputs.NONE, 0, Plan.EMPTY);
    }

    private void reconcile() {
        List<Transition.Step> steps;
        View view = dependencies.view().get();
        synchronized (this) {
            long now = dependencies.clock().nanos();
            long heldSince = leaseHeldSinceNanos.orElse(now);
            leaseHeldSinceNanos = Optional.of(heldSince);
            if (now - heldSince < SETTLING_TIME.toNanos()) {
                return;
            }
            steps = steps(view, now);
        }
        Map<InstanceId, View.EngineView> engines = new HashMap<>();
        view.allEngines().forEach(e -> engines.put(e.instance().id(), e));
        steps.forEach(step -> order(engines.get(step.engine()).instance(), step.holdings()));
    }

    private List<Transition.Step> steps(View view, long now) {
        layerTimes.learn(view);
        List<Demand> demands = demands(dependencies.config().get());
        List<Worker> workers = view.allEngines().stream().map(this::worker).toList();
        Plan plan = plan(demands, workers, now);
        Transition.Limits limits =
                new Transition.Limits(this::layerBytes, budgetBytes(), overdue(plan, workers, now));
        List<Transition.Step> steps =
                new ArrayList<>(Transition.steps(plan, demands, workers, limits));
        Set<InstanceId> changing = new HashSet<>();
        steps.forEach(s -> changing.add(s.engine()));
        raiseTerms(view, changing, steps);
        steps.removeIf(s -> !mayOrder(view, s.engine(), now));
        steps.forEach(s -> orderedNanos.put(s.engine(), now));
        return steps;
    }

    /** Replans at once when models or engines changed, at a limited rate on other changes. */
    private Plan plan(List<Demand> demands, List<Worker> workers, long now) {
        PlanInputs inputs = PlanInputs.of(demands, workers);
        boolean same = inputs.equals(planned.inputs());
        boolean recent = now - planned.atNanos() < REPLAN_INTERVAL.toNanos();
        boolean sameModelsAndEngines = inputs.sameModelsAndEngines(planned.inputs());
        if (same || (sameModelsAndEngines && recent)) {
            return planned.plan();
        }
        planned = new Planned(inputs, now, planner.plan(demands, workers));
        meters.counter("hyssopturn.place.plans").increment();
        return planned.plan();
    }

    /**
     * Adds a step with the current holdings for each engine that checks terms and has no step yet,
     * so that it rejects orders of older terms from then on.
     */
    private void raiseTerms(View view, Set<InstanceId> changing, List<Transition.Step> steps) {
        for (View.EngineView engine : view.allEngines()) {
            InstanceId id = engine.instance().id();
            if (engine.report().loading().isEmpty() && checksTerms(engine) && termRaised.add(id)) {
                if (!changing.contains(id)) {
                    steps.add(new Transition.Step(id, engine.report().held()));
                }
            }
        }
    }

    private static boolean checksTerms(View.EngineView engine) {
        return engine.instance().role() instanceof Instance.Role.Engine role && role.fenced();
    }

    /**
     * Returns whether an engine may get an order now.
     *
     * <p>There is a minimum interval between orders to one engine. An engine that does not check
     * terms gets orders only after a delay in which late orders of the previous lease holder
     * arrive.
     */
    private boolean mayOrder(View view, InstanceId id, long now) {
        Long last = orderedNanos.get(id);
        if (last != null && now - last < MIN_ORDER_INTERVAL.toNanos()) {
            return false;
        }
        boolean checks =
                view.allEngines().stream()
                        .filter(e -> e.instance().id().equals(id))
                        .anyMatch(PlacementController::checksTerms);
        long wait = timing.length().plus(LATE_ORDER_DELAY).toNanos();
        return checks || now - leaseHeldSinceNanos.orElse(now) >= wait;
    }

    /** Returns engines whose unloading has been pending for so long that it no longer waits. */
    private Set<InstanceId> overdue(Plan plan, List<Worker> workers, long now) {
        Set<InstanceId> overdue = new HashSet<>();
        for (Worker worker : workers) {
            List<Holding> desired = plan.desired().getOrDefault(worker.id(), worker.held());
            if (desired.containsAll(worker.held())) {
                unloadPendingSince.remove(worker.id());
            } else {
                long since = unloadPendingSince.computeIfAbsent(worker.id(), id -> now);
                if (now - since >= UNLOAD_TIMEOUT.toNanos()) {
                    overdue.add(worker.id());
                }
            }
        }
        return overdue;
    }

    /**
     * Returns the size of a layer, in bytes.
     *
     * <p>The size of an unknown version is taken from the known versions of the model, or else from
     * the model with the largest layers.
     */
    private long layerBytes(ModelId model) {
        Long known = layerBytes.get(model);
        if (known != null) {
            return known;
        }
        return layerBytes.entrySet().stream()
                .filter(e -> e.getKey().name().equals(model.name()))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElseGet(this::largestLayer);
    }

    private long largestLayer() {
        return layerBytes.values().stream().mapToLong(bytes -> bytes).max().orElse(0);
    }

    private long budgetBytes() {
        return storeBytesPerSecond == 0 ? 0 : storeBytesPerSecond * LOAD_WINDOW.toSeconds();
    }

    private List<Demand> demands(Config config) {
        List<Demand> demands = new ArrayList<>();
        for (ModelSpec spec : new java.util.TreeMap<>(config.models()).values()) {
            boolean unknown = layerBytes.put(spec.id(), spec.bytesPerLayer()) == null;
            if (unknown || storeBytesPerSecond == 0) {
                dependencies
                        .weights()
                        .describe(spec.id())
                        .thenAccept(w -> storeBytesPerSecond = w.bytesPerSecond());
            }
            String name = spec.id().name();
            tokenIntervalTarget(config, name)
                    .ifPresent(t -> demands.add(new Demand(spec, demandMeter.share(name), t)));
        }
        return demands;
    }

    /**
     * Returns the tightest target for the time between two tokens among the classes of a model,
     * empty if no class needs the model.
     */
    private static Optional<Duration> tokenIntervalTarget(Config config, String model) {
        return config.classes().values().stream()
                .filter(c -> c.work().equals(new Work.Generate(model)))
                .map(c -> c.target() instanceof Target.Stream s ? s.between() : NO_TARGET)
                .min(Duration::compareTo);
    }

    private Worker worker(View.EngineView engine) {
        EngineReport report = engine.report();
        long memory =
                engine.instance().role() instanceof Instance.Role.Engine role
                        ? role.memoryBytes()
                        : 0;
        return new Worker(
                engine.instance().id(),
                engine.instance().zone(),
                memory,
                layerTimes.layerMillis(engine.instance()),
                report.held(),
                report.loading(),
                report.running() + report.waiting() > 0);
    }

    private void order(Instance engine, List<Holding> holdings) {
        OptionalLong term = lease.term();
        if (term.isEmpty()) {
            return;
        }
        logger.atFine().log("engine=%s order=%s term=%d", engine.id(), holdings, term.getAsLong());
        dependencies
                .engines()
                .order(engine.address(), new Order(term.getAsLong(), holdings))
                .whenComplete((done, error) -> orderFinished(engine.id(), error));
    }

    private void orderFinished(InstanceId engine, Throwable error) {
        String result = error == null ? "taken" : "failed";
        meters.counter("hyssopturn.place.orders", "result", result).increment();
        if (error != null) {
            synchronized (this) {
                termRaised.remove(engine);
            }
        }
    }
}
