package hyssopturn.chain;

import com.google.common.flogger.FluentLogger;

import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.EngineSpec;
import hyssopturn.catalog.ServiceSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.Clock;
import hyssopturn.port.Duties;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Gives engines the layers that the plan wants, while this node holds the duty of placement.
 *
 * <p>Orders carry the duty's fencing token, so a node that lost the duty without knowing cannot
 * undo what its successor ordered. An order that was not answered counts as under way until its
 * time is over, because the engine may still carry it out. Runs on the thread of its clock.
 */
public final class LayerController {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration JOIN_INTERVAL = Duration.ofSeconds(1);
    private static final Duration DUTY_KEPT = Duration.ofSeconds(3);

    /** Time without a new engine before the first plan of a holder; over one heartbeat. */
    private static final Duration SETTLE = Duration.ofMillis(1_500);

    /** Longest time that an order may be on its way. */
    private static final Duration ORDER_LIMIT = Duration.ofSeconds(13);

    private static final Duration CONFLICT_PAUSE = Duration.ofSeconds(1);
    private static final int WARN_SECONDS = 5;

    private final Supplier<Optional<Catalog>> catalog;
    private final Roster roster;
    private final Duties duties;
    private final EngineControl engines;
    private final Clock clock;
    private final TraceLog trace;
    private final Consumer<Duties.Dealt> listener;
    private final Map<InstanceId, Ordered> ordered = new HashMap<>();
    private final Map<InstanceId, Long> firstSeen = new HashMap<>();
    private OptionalLong fence = OptionalLong.empty();
    private long fencedBelow = Long.MIN_VALUE;
    private long heldUntilNanos;
    private long nextJoinNanos;
    private boolean settled;
    private boolean stopped;

    /**
     * Creates a controller that has not started.
     *
     * @param catalog configuration in force
     * @param roster endpoints
     * @param duties deals out the duty
     * @param engines takes orders
     * @param clock time
     * @param trace structured log
     * @param listener gets what was dealt to this node
     */
    public LayerController(
            Supplier<Optional<Catalog>> catalog,
            Roster roster,
            Duties duties,
            EngineControl engines,
            Clock clock,
            TraceLog trace,
            Consumer<Duties.Dealt> listener) {
        this.listener = listener;
        this.catalog = catalog;
        this.roster = roster;
        this.duties = duties;
        this.engines = engines;
        this.clock = clock;
        this.trace = trace;
    }

    private record Ordered(LayerRange range, long incarnation, long untilNanos) {}

    /** Starts to take part. */
    public void start() {
        tick();
    }

    /** Gives the duty up and stops. */
    public void stop() {
        stopped = true;
        duties.leave()
                .exceptionally(
                        error -> {
                            logger.atWarning().log("duty not given up: %s", error);
                            return null;
                        });
    }

    private void tick() {
        if (stopped) {
            return;
        }
        long now = clock.nanos();
        if (now >= nextJoinNanos) {
            nextJoinNanos = now + JOIN_INTERVAL.toNanos();
            duties.join(DUTY_KEPT).whenComplete((dealt, error) -> joined(now, dealt, error));
        }
        if (holds(now)) {
            catalog.get().ifPresent(c -> c.services().values().forEach(this::place));
        }
        clock.after(TICK, this::tick);
    }

    private void joined(long askedNanos, Duties.Dealt dealt, Throwable error) {
        if (error != null) {
            logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                    "duties not joined: %s", error);
            return;
        }
        listener.accept(dealt);
        OptionalLong held = dealt.placement();
        if (held.isEmpty()) {
            settled = false;
        }
        if (!held.equals(fence)) {
            trace.record(new TraceEvent.Duty(held.isPresent(), held.orElse(-1)));
        }
        fence = held;
        heldUntilNanos = askedNanos + DUTY_KEPT.toNanos();
    }

    private boolean holds(long now) {
        return fence.isPresent() && fence.getAsLong() > fencedBelow && now < heldUntilNanos;
    }

    private void place(ServiceSpec service) {
        if (service.engine().isEmpty()) {
            return;
        }
        long now = clock.nanos();
        List<Endpoint> live = roster.lasting(service.name(), now);
        for (Endpoint engine : live) {
            firstSeen.putIfAbsent(engine.id(), now);
        }
        settled |= live.stream().allMatch(e -> now - firstSeen.get(e.id()) > SETTLE.toNanos());
        if (settled && !live.isEmpty()) {
            order(service.engine().get(), live, now);
        }
    }

    private void order(EngineSpec spec, List<Endpoint> live, long now) {
        List<Endpoint> expected = live.stream().map(e -> expected(e, now)).toList();
        for (LayerPlanner.Assignment wanted : new LayerPlanner(spec).plan(expected)) {
            if (!ordered.containsKey(wanted.engine().id())) {
                send(wanted.engine(), wanted.range(), now);
            }
        }
    }

    /** The engine with the layers that it holds or was ordered to hold. */
    private Endpoint expected(Endpoint engine, long now) {
        Ordered order = ordered.get(engine.id());
        if (order == null) {
            return engine;
        }
        boolean over =
                order.incarnation() != engine.incarnation()
                        || engine.layers().equals(Optional.of(order.range()))
                        || now > order.untilNanos();
        if (over) {
            ordered.remove(engine.id());
            return engine;
        }
        return engine.holding(order.range());
    }

    private void send(Endpoint engine, LayerRange range, long now) {
        long token = fence.orElseThrow();
        long until = now + ORDER_LIMIT.toNanos();
        ordered.put(engine.id(), new Ordered(range, engine.incarnation(), until));
        engines.place(engine.address(), engine.id(), range, token)
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
            fencedBelow = Math.max(fencedBelow, token);
            ordered.remove(engine.id());
        }
        if (result == EngineControl.OrderResult.CONFLICT) {
            long retry = clock.nanos() + CONFLICT_PAUSE.toNanos();
            ordered.put(engine.id(), new Ordered(range, engine.incarnation(), retry));
        }
    }
}
