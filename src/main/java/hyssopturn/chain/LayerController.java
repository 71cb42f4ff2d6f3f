package hyssopturn.chain;

import com.google.common.flogger.FluentLogger;

import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.ServiceSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.fleet.Roster;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.Clock;
import hyssopturn.port.Duties;
import hyssopturn.port.EngineControl;
import hyssopturn.port.RefusedException;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Orders engines to load the layers of the plan, while this node holds the placement duty.
 *
 * <p>Orders carry the duty's fencing token, so a node that lost the duty without noticing cannot
 * undo the orders of its successor. An order that was not answered counts as pending until its
 * timeout, because the engine may still carry it out. Runs on the thread of its clock.
 */
public final class LayerController {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration JOIN_INTERVAL = Duration.ofMillis(700);
    private static final Duration DUTY_LEASE = Duration.ofSeconds(2);

    /** Time that a read of the list may be late, and an announcement on its way. */
    private static final Duration READ_DELAY = Duration.ofMillis(500);

    /** Longest time that an order counts as pending. */
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(13);

    /** Time after which a load that is under way is not waited for. */
    private static final Duration SLOW_LOAD = Duration.ofSeconds(2);

    private static final Duration CONFLICT_PAUSE = Duration.ofSeconds(1);
    private static final int WARN_SECONDS = 5;

    private final Supplier<Optional<Catalog>> catalog;
    private final Roster roster;
    private final Duties duties;
    private final EngineControl engines;
    private final Clock clock;
    private final TraceLog trace;
    private final ObjLongConsumer<Duties.Assignment> listener;
    private final Map<InstanceId, PendingOrder> pendingOrders = new HashMap<>();
    private final Map<String, List<ZoneCoverage>> coverage = new HashMap<>();
    private final Map<String, Set<Holding>> settledHoldings = new HashMap<>();
    private final Set<String> settledServices = new HashSet<>();
    private final Duration settleTime;
    private OptionalLong fence = OptionalLong.empty();
    private long rejectedFence = Long.MIN_VALUE;
    private long heldUntilNanos;
    private long nextJoinNanos;
    private boolean stopped;

    /**
     * Creates a controller that has not started.
     *
     * @param catalog supplies the configuration in force
     * @param roster known endpoints
     * @param readInterval interval between reads of the list of endpoints
     * @param duties grants the placement duty
     * @param engines sends orders to engines
     * @param clock time
     * @param trace structured log
     * @param listener receives each assignment to this node, and the time until which it holds
     */
    public LayerController(
            Supplier<Optional<Catalog>> catalog,
            Roster roster,
            Duration readInterval,
            Duties duties,
            EngineControl engines,
            Clock clock,
            TraceLog trace,
            ObjLongConsumer<Duties.Assignment> listener) {
        this.listener = listener;
        this.catalog = catalog;
        this.roster = roster;
        settleTime = readInterval.plus(READ_DELAY);
        this.duties = duties;
        this.engines = engines;
        this.clock = clock;
        this.trace = trace;
    }

    private record PendingOrder(
            LayerRange range, long incarnation, long sentNanos, long deadlineNanos) {}

    /** Starts to renew the duty and to place layers. */
    public void start() {
        tick();
    }

    /** Releases the duty and stops. */
    public void stop() {
        stopped = true;
        duties.leave()
                .exceptionally(
                        error -> {
                            logger.atWarning().log(
                                    "could not release the placement duty: %s", error);
                            return null;
                        });
    }

    private void tick() {
        if (stopped) {
            return;
        }
        clock.after(TICK, this::tick);
        long now = clock.nanos();
        if (now >= nextJoinNanos) {
            nextJoinNanos = now + JOIN_INTERVAL.toNanos();
            duties.join(DUTY_LEASE).whenComplete((granted, error) -> joined(now, granted, error));
        }
        if (holds(now)) {
            catalog.get().ifPresent(c -> c.services().values().forEach(this::tryPlaceLayers));
        }
    }

    private void joined(long requestedNanos, Duties.Assignment granted, Throwable error) {
        if (error != null) {
            logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                    "could not join or renew the duties: %s", error);
            return;
        }
        heldUntilNanos = requestedNanos + DUTY_LEASE.toNanos();
        listener.accept(granted, heldUntilNanos);
        OptionalLong held = granted.placementToken();
        if (held.isEmpty()) {
            settledServices.clear();
            coverage.clear();
            settledHoldings.clear();
        }
        if (!held.equals(fence)) {
            trace.record(new TraceEvent.Duty(held.isPresent(), held.orElse(-1)));
        }
        fence = held;
    }

    private boolean holds(long now) {
        return fence.isPresent() && fence.getAsLong() > rejectedFence && now < heldUntilNanos;
    }

    /** Places a service's layers; an unexpected error must not stop the other services. */
    private void tryPlaceLayers(ServiceSpec service) {
        try {
            placeLayers(service);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                    "could not place the layers of %s", service.name());
        }
    }

    private void placeLayers(ServiceSpec service) {
        if (service.engine().isEmpty()) {
            return;
        }
        long now = clock.nanos();
        if (settled(service.name(), now)) {
            List<Endpoint> live = live(service.name(), now);
            recordCoverage(service.name(), ZoneCoverage.of(service.engine().get(), live));
            sendOrders(service.name(), service.engine().get(), live, now);
        }
    }

    /**
     * Returns the engines that are expected to continue. One that was ordered to change its layers
     * does not answer some requests meanwhile, which is no sign of a failure.
     */
    private List<Endpoint> live(String service, long now) {
        List<Endpoint> live = new ArrayList<>(roster.stable(service, now));
        roster.usableOrSilent(service, now).stream()
                .filter(e -> pendingOrders.containsKey(e.id()) && !live.contains(e))
                .forEach(live::add);
        return live;
    }

    private void recordCoverage(String service, List<ZoneCoverage> now) {
        List<ZoneCoverage> before =
                Optional.ofNullable(coverage.put(service, now)).orElse(List.of());
        now.stream()
                .filter(c -> !before.contains(c))
                .map(
                        c ->
                                new TraceEvent.ZoneCovered(
                                        service, c.zone(), c.missingLayers(), c.room()))
                .forEach(trace::record);
    }

    /**
     * Returns whether the first plan can be made. A new holder waits until one more read of the
     * list brought no new engine: orders for a part of the engines take long to undo.
     */
    private boolean settled(String service, long now) {
        return settledServices.contains(service)
                || (roster.settled(service, settleTime, now) && settledServices.add(service));
    }

    private void sendOrders(String service, EngineSpec spec, List<Endpoint> live, long now) {
        List<Endpoint> expected = live.stream().map(e -> expected(e, now)).toList();
        Map<InstanceId, Integer> loading = loading(live, now);
        Set<Holding> holdings = holdings(expected, loading);
        if (holdings.equals(settledHoldings.get(service))) {
            return;
        }
        List<LayerPlanner.Assignment> plan = new LayerPlanner(spec).plan(expected, loading);
        if (plan.isEmpty()) {
            settledHoldings.put(service, holdings);
        }
        for (LayerPlanner.Assignment assignment : plan) {
            if (!pendingOrders.containsKey(assignment.engine().id())) {
                send(assignment, now);
            }
        }
    }

    /** What a plan depends on of an engine; a plan is not made again while nothing changes. */
    private record Holding(InstanceId engine, Optional<LayerRange> layers, boolean loading) {}

    private static Set<Holding> holdings(List<Endpoint> engines, Map<InstanceId, Integer> loading) {
        return engines.stream()
                .map(e -> new Holding(e.id(), e.layers(), loading.getOrDefault(e.id(), 0) > 0))
                .collect(Collectors.toSet());
    }

    /**
     * Returns the engines that carry out an order, with the layers that they still load. Loads that
     * take long do not hold up others.
     */
    private Map<InstanceId, Integer> loading(List<Endpoint> live, long now) {
        Map<InstanceId, Integer> loading = new HashMap<>();
        for (Endpoint engine : live) {
            PendingOrder order = pendingOrders.get(engine.id());
            if (order != null) {
                boolean slow = now - order.sentNanos() > SLOW_LOAD.toNanos();
                loading.put(engine.id(), slow ? 0 : missing(engine, order.range()));
            }
        }
        return loading;
    }

    private static int missing(Endpoint engine, LayerRange ordered) {
        return ordered.size() - engine.layers().map(ordered::overlap).orElse(0);
    }

    /** Returns the engine with the layers that it holds or was ordered to hold. */
    private Endpoint expected(Endpoint engine, long now) {
        PendingOrder order = pendingOrders.get(engine.id());
        if (order == null) {
            return engine;
        }
        boolean finished =
                order.incarnation() != engine.incarnation()
                        || engine.layers().equals(Optional.of(order.range()))
                        || now > order.deadlineNanos();
        if (finished) {
            pendingOrders.remove(engine.id());
            return engine;
        }
        return engine.withLayers(order.range());
    }

    private void send(LayerPlanner.Assignment assignment, long now) {
        Endpoint engine = assignment.engine();
        LayerRange range = assignment.range();
        if (roster.paused(engine, now)) {
            return;
        }
        long token = fence.orElseThrow();
        long deadline = now + ORDER_TIMEOUT.toNanos();
        pendingOrders.put(
                engine.id(), new PendingOrder(range, engine.incarnation(), now, deadline));
        EngineControl.Passing passing =
                assignment.urgent() ? EngineControl.Passing.CUT_OFF : EngineControl.Passing.FINISH;
        engines.place(engine.address(), engine.id(), range, passing, token)
                .whenComplete((result, error) -> answered(engine, range, token, result, error));
    }

    private void answered(
            Endpoint engine,
            LayerRange range,
            long token,
            EngineControl.OrderResult result,
            Throwable error) {
        String outcome = error == null ? result.name() : "no answer: " + error.getMessage();
        trace.record(new TraceEvent.Ordered(engine.id().value(), range.toString(), token, outcome));
        if (result == EngineControl.OrderResult.FENCED) {
            rejectedFence = Math.max(rejectedFence, token);
            pendingOrders.remove(engine.id());
        }
        if (unreachable(error)) {
            pendingOrders.remove(engine.id());
            roster.suspect(engine.id(), engine.incarnation(), Evidence.UNREACHABLE, clock.nanos());
        }
        if (result == EngineControl.OrderResult.CONFLICT) {
            long now = clock.nanos();
            long retryNanos = now + CONFLICT_PAUSE.toNanos();
            pendingOrders.put(
                    engine.id(), new PendingOrder(range, engine.incarnation(), now, retryNanos));
        }
    }

    private static boolean unreachable(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof RefusedException refused
                && refused.reason() == RefusedException.Reason.UNREACHABLE;
    }
}
