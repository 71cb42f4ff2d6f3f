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
 * Orders engines towards the plan while this node holds the lease.
 *
 * <p>Every order carries the term and says all that the engine must hold. What engines report is
 * read back each round, so that an order of an older term that slipped through is corrected.
 */
public final class PlacementController {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final Duration SETTLING = Duration.ofSeconds(3);
    private static final Duration PAUSE_BOUND = Duration.ofSeconds(10);
    private static final Duration PATIENCE = Duration.ofMinutes(1);
    private static final Duration LOAD_WINDOW = Duration.ofSeconds(30);
    private static final Duration ORDER_LIMIT = Duration.ofSeconds(5);
    private static final Duration REPLAN_INTERVAL = Duration.ofSeconds(5);
    private static final Duration NO_TARGET = Duration.ofDays(1);

    private final Outside outside;
    private final LeaseController lease;
    private final LeaseTiming timing;
    private final DemandMeter demand;
    private final Planner planner;
    private final MeterRegistry meters;
    private final Speeds speeds = new Speeds();
    private final Map<ModelId, Long> layerBytes = new HashMap<>();
    private final Map<InstanceId, Long> unloadWanted = new HashMap<>();
    private final Map<InstanceId, Long> ordered = new HashMap<>();
    private final Set<InstanceId> fenced = new HashSet<>();
    private Planned planned = new Planned(Basis.NONE, 0, Plan.EMPTY);
    private Optional<Long> takenNanos = Optional.empty();
    private volatile long storeBytesPerSecond;
    private volatile boolean stopped;

    private record Planned(Basis basis, long atNanos, Plan plan) {}

    /**
     * What the controller sees and calls.
     *
     * @param config configuration in force
     * @param view engines and their reports
     * @param engines takes the orders
     * @param weights tells the rate of loads
     * @param clock time
     */
    public record Outside(
            Supplier<Config> config,
            Supplier<View> view,
            EngineClient engines,
            WeightStore weights,
            Clock clock) {}

    /**
     * Creates a controller that has not started.
     *
     * @param outside what it sees and calls
     * @param lease tells the term while this node may order
     * @param timing spans of the lease
     * @param demand how much each model is wanted
     * @param links cost of links
     * @param meters where it counts
     */
    public PlacementController(
            Outside outside,
            LeaseController lease,
            LeaseTiming timing,
            DemandMeter demand,
            Links links,
            MeterRegistry meters) {
        this.outside = outside;
        this.lease = lease;
        this.timing = timing;
        this.demand = demand;
        this.meters = meters;
        planner = new Planner(links);
    }

    /** Starts looking and ordering. */
    public void start() {
        outside.clock().after(INTERVAL, this::round);
    }

    /** Stops. */
    public void stop() {
        stopped = true;
    }

    private void round() {
        if (stopped) {
            return;
        }
        if (lease.term().isPresent()) {
            act();
        } else {
            forget();
        }
        outside.clock().after(INTERVAL, this::round);
    }

    private synchronized void forget() {
        takenNanos = Optional.empty();
        fenced.clear();
        ordered.clear();
        unloadWanted.clear();
        planned = new Planned(Basis.NONE, 0, Plan.EMPTY);
    }

    private void act() {
        List<Transition.Step> steps;
        View view = outside.view().get();
        synchronized (this) {
            long now = outside.clock().nanos();
            long taken = takenNanos.orElse(now);
            takenNanos = Optional.of(taken);
            if (now - taken < SETTLING.toNanos()) {
                return;
            }
            steps = steps(view, now);
        }
        Map<InstanceId, View.EngineView> engines = new HashMap<>();
        view.allEngines().forEach(e -> engines.put(e.instance().id(), e));
        steps.forEach(step -> order(engines.get(step.engine()).instance(), step.holdings()));
    }

    private List<Transition.Step> steps(View view, long now) {
        speeds.learn(view);
        List<Demand> demands = demands(outside.config().get());
        List<Worker> workers = view.allEngines().stream().map(this::worker).toList();
        Plan plan = plan(demands, workers, now);
        Transition.Limits limits =
                new Transition.Limits(this::layerBytes, budgetBytes(), overdue(plan, workers, now));
        List<Transition.Step> steps =
                new ArrayList<>(Transition.steps(plan, demands, workers, limits));
        Set<InstanceId> moving = new HashSet<>();
        steps.forEach(s -> moving.add(s.engine()));
        raiseFences(view, moving, steps);
        steps.removeIf(s -> !mayOrder(view, s.engine(), now));
        steps.forEach(s -> ordered.put(s.engine(), now));
        return steps;
    }

    /** Plans anew when engines came or went, and now and then when anything else changed. */
    private Plan plan(List<Demand> demands, List<Worker> workers, long now) {
        Basis basis = Basis.of(demands, workers);
        boolean same = basis.equals(planned.basis());
        boolean recent = now - planned.atNanos() < REPLAN_INTERVAL.toNanos();
        boolean sameFleet = basis.sameFleet(planned.basis());
        if (same || (sameFleet && recent)) {
            return planned.plan();
        }
        planned = new Planned(basis, now, planner.plan(demands, workers));
        meters.counter("hyssopturn.place.plans").increment();
        return planned.plan();
    }

    /** Repeats to each engine that checks terms what it holds, so that older terms end there. */
    private void raiseFences(View view, Set<InstanceId> moving, List<Transition.Step> steps) {
        for (View.EngineView engine : view.allEngines()) {
            InstanceId id = engine.instance().id();
            if (engine.report().loading().isEmpty() && checksTerms(engine) && fenced.add(id)) {
                if (!moving.contains(id)) {
                    steps.add(new Transition.Step(id, engine.report().held()));
                }
            }
        }
    }

    private static boolean checksTerms(View.EngineView engine) {
        return engine.instance().role() instanceof Instance.Role.Engine role && role.fenced();
    }

    /** Lets orders of an older holder run out first where the engine would take them. */
    private boolean mayOrder(View view, InstanceId id, long now) {
        Long last = ordered.get(id);
        if (last != null && now - last < ORDER_LIMIT.toNanos()) {
            return false;
        }
        boolean checks =
                view.allEngines().stream()
                        .filter(e -> e.instance().id().equals(id))
                        .anyMatch(PlacementController::checksTerms);
        long wait = timing.length().plus(PAUSE_BOUND).toNanos();
        return checks || now - takenNanos.orElse(now) >= wait;
    }

    private Set<InstanceId> overdue(Plan plan, List<Worker> workers, long now) {
        Set<InstanceId> overdue = new HashSet<>();
        for (Worker worker : workers) {
            List<Holding> desired = plan.desired().getOrDefault(worker.id(), worker.held());
            if (desired.containsAll(worker.held())) {
                unloadWanted.remove(worker.id());
            } else {
                long since = unloadWanted.computeIfAbsent(worker.id(), id -> now);
                if (now - since >= PATIENCE.toNanos()) {
                    overdue.add(worker.id());
                }
            }
        }
        return overdue;
    }

    /** Returns the size of a layer; a version that was never seen is taken for a known one. */
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
                outside.weights()
                        .describe(spec.id())
                        .thenAccept(w -> storeBytesPerSecond = w.bytesPerSecond());
            }
            String name = spec.id().name();
            between(config, name)
                    .ifPresent(t -> demands.add(new Demand(spec, demand.share(name), t)));
        }
        return demands;
    }

    /** Returns the tightest target of a model's classes, empty if no class needs the model. */
    private static Optional<Duration> between(Config config, String model) {
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
                speeds.layerMillis(engine.instance()),
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
        outside.engines()
                .order(engine.address(), new Order(term.getAsLong(), holdings))
                .whenComplete((done, error) -> ordered(engine.id(), error));
    }

    private void ordered(InstanceId engine, Throwable error) {
        String result = error == null ? "taken" : "failed";
        meters.counter("hyssopturn.place.orders", "result", result).increment();
        if (error != null) {
            synchronized (this) {
                fenced.remove(engine);
            }
        }
    }
}
