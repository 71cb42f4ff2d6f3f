package hyssopturn.run;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.standin.EngineProfile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/** A sequence of requests and faults that is run on a simulated cluster. */
final class FaultScenario {
    private static final List<LayerRange> LAYOUT =
            List.of(
                    new LayerRange(0, 2),
                    new LayerRange(2, 4),
                    new LayerRange(4, 6),
                    new LayerRange(0, 3),
                    new LayerRange(3, 6),
                    new LayerRange(1, 5),
                    new LayerRange(0, 4),
                    new LayerRange(2, 6));
    private static final int MAX_VIEW_LAG_MILLIS = 1_500;
    private static final int ACTIVATION_BYTES = 4_000;
    private static final double SLOWDOWN = 12;
    private static final Duration REMOVAL_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_END_DURATION = Duration.ofMinutes(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final SimulatedCluster cluster;
    private final List<Address> live = new ArrayList<>();
    private int nextEngineNumber;

    /** A kind of operation. */
    enum Kind {
        START,
        STEP,
        LOSE_REQUEST,
        LOSE_ANSWER,
        DELAY,
        KILL,
        FREEZE,
        THAW,
        CUT,
        HEAL,
        SILENCE,
        SLOW,
        JOIN,
        LEAVE,
        CANCEL
    }

    /** An operation on a target, and the pause after it. */
    record Op(Kind kind, int target, int pauseMillis) {}

    private FaultScenario(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Runs the operations and checks the result; with an engine that never fails every answer must
     * be complete.
     */
    static SimulatedCluster play(
            long seed, List<Op> ops, boolean reliableEngine, UnaryOperator<RunMachine> wrapper) {
        SimulatedCluster cluster = new SimulatedCluster(seed, true, ACTIVATION_BYTES, wrapper);
        FaultScenario scenario = new FaultScenario(cluster);
        scenario.addEngines(reliableEngine);
        ops.forEach(scenario::play);
        scenario.healAndFinish();
        cluster.check(reliableEngine);
        return cluster;
    }

    static List<Op> randomOps(long seed, int size) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Op> ops = new ArrayList<>();
        ops.add(new Op(Kind.START, random.nextInt(1_000), 5));
        ops.add(new Op(Kind.START, random.nextInt(1_000), 5));
        Kind[] kinds = Kind.values();
        for (int i = 0; i < size; i++) {
            Kind kind = kinds[random.nextInt(kinds.length)];
            ops.add(new Op(kind, random.nextInt(1_000), random.nextInt(120)));
        }
        return ops;
    }

    private void addEngines(boolean reliableEngine) {
        LAYOUT.forEach(this::join);
        if (reliableEngine) {
            EngineProfile slow = EngineProfile.quick().slower(SLOWDOWN);
            cluster.addEngine(nextEngineNumber++, 0, SimulatedCluster.MODEL.layers(), slow);
        }
        cluster.refreshView();
    }

    private void join(LayerRange layers) {
        EngineProfile profile = EngineProfile.quick().slower(1 + nextEngineNumber % 3);
        live.add(cluster.addEngine(nextEngineNumber++, layers.from(), layers.to(), profile));
    }

    private void play(Op op) {
        switch (op.kind()) {
            case START -> cluster.start(1 + op.target() % 6, 1 + op.target() % 24);
            case JOIN -> join(LAYOUT.get(op.target() % LAYOUT.size()));
            case CANCEL -> cancel(op.target());
            case STEP -> cluster.clock.advance(Duration.ofMillis(5));
            default -> {
                if (!live.isEmpty()) {
                    applyFault(op.kind(), live.get(op.target() % live.size()));
                }
            }
        }
        Duration lag = Duration.ofMillis(cluster.random.nextInt(MAX_VIEW_LAG_MILLIS));
        cluster.clock.after(lag, cluster::refreshView);
        cluster.clock.advance(Duration.ofMillis(op.pauseMillis()));
    }

    private void applyFault(Kind kind, Address address) {
        FaultyEngines.Host host = cluster.engines.host(address);
        switch (kind) {
            case LOSE_REQUEST -> host.requestsToLose++;
            case LOSE_ANSWER -> host.answersToLose++;
            case DELAY -> host.jitter = true;
            case KILL -> kill(address);
            case FREEZE -> host.frozen = true;
            case THAW -> cluster.engines.thaw(address);
            case CUT -> host.cut = true;
            case HEAL -> host.cut = false;
            case SILENCE -> host.pooledSilent = true;
            case SLOW -> host.engine.slowdown(SLOWDOWN);
            case LEAVE -> leave(address, host);
            default -> throw new AssertionError(kind);
        }
    }

    private void kill(Address address) {
        cluster.engines.kill(address);
        live.remove(address);
        cluster.clock.after(REMOVAL_DELAY, () -> cluster.instances.remove(address));
    }

    private void leave(Address address, FaultyEngines.Host host) {
        host.engine.draining(cluster.random.nextBoolean());
        cluster.leave(address);
        live.remove(address);
    }

    private void cancel(int target) {
        if (cluster.callers.isEmpty()) {
            return;
        }
        SimulatedCluster.Caller caller = cluster.callers.get(target % cluster.callers.size());
        if (caller.end().isEmpty()) {
            caller.cancelled = true;
            caller.subscription.cancel();
        }
    }

    private void healAndFinish() {
        live.forEach(
                address -> {
                    FaultyEngines.Host host = cluster.engines.host(address);
                    host.cut = false;
                    host.jitter = false;
                    host.pooledSilent = false;
                    host.engine.slowdown(1);
                    cluster.engines.thaw(address);
                });
        cluster.refreshView();
        long end = cluster.clock.nanos() + MAX_END_DURATION.toNanos();
        while (cluster.openRuns() > 0 && cluster.clock.nanos() < end) {
            cluster.clock.advance(POLL_INTERVAL);
        }
        cluster.clock.advance(Duration.ofSeconds(5));
    }
}
