package hyssopturn.lease;

import com.google.common.flogger.FluentLogger;

import hyssopturn.log.LogFollower;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;

import io.micrometer.core.instrument.MeterRegistry;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Takes part in one lease of the log: takes it, renews it, and knows its term while it holds. */
public final class LeaseController {
    /** Stream of the log that holds the lease of the control plane's duties. */
    public static final String STREAM = "lease";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(250);

    private final LogService log;
    private final Clock clock;
    private final RandomGenerator random;
    private final LeaseTiming timing;
    private final LogFollower follower;
    private final Consumer<Boolean> changes;
    private final MeterRegistry meters;
    private final LeaseDecision.Start start;
    private LeaseDecision decision;
    private long nextTryNanos;
    private long waitNanos;
    private boolean told;
    private volatile boolean stopped;

    /**
     * Creates a controller that has not started.
     *
     * @param self this node
     * @param log the log
     * @param clock time
     * @param random source of the waiters' delays
     * @param timing spans of the lease
     * @param changes gets true when this node took the lease and false when it lost it
     * @param meters where it counts
     */
    public LeaseController(
            InstanceId self,
            LogService log,
            Clock clock,
            RandomGenerator random,
            LeaseTiming timing,
            Consumer<Boolean> changes,
            MeterRegistry meters) {
        this(self, log, clock, random, timing, changes, meters, LeaseDecision.Start.SENDING);
    }

    LeaseController(
            InstanceId self,
            LogService log,
            Clock clock,
            RandomGenerator random,
            LeaseTiming timing,
            Consumer<Boolean> changes,
            MeterRegistry meters,
            LeaseDecision.Start start) {
        this.start = start;
        this.log = log;
        this.clock = clock;
        this.random = random;
        this.timing = timing;
        this.changes = changes;
        this.meters = meters;
        decision = LeaseDecision.begin(self, clock.nanos());
        follower = new LogFollower(log, STREAM, clock, this::read);
        meters.gauge("hyssopturn.lease.held", this, c -> c.term().isPresent() ? 1 : 0);
    }

    /** Starts following and trying. */
    public void start() {
        synchronized (this) {
            decision = LeaseDecision.begin(decision.self(), clock.nanos());
            nextTryNanos = clock.nanos();
            waitNanos = nextWait();
        }
        follower.start();
        tick();
    }

    /** Stops; a lease that is held runs out by itself. */
    public void stop() {
        stopped = true;
        follower.stop();
    }

    /**
     * Returns the term while this node holds the lease; to be asked before each order.
     *
     * @return the term, empty if the lease is not held at this moment
     */
    public synchronized OptionalLong term() {
        return decision.term(clock.nanos()).map(OptionalLong::of).orElse(OptionalLong.empty());
    }

    private long nextWait() {
        long spread = timing.spread().toNanos();
        return spread == 0 ? 0 : random.nextLong(spread);
    }

    private void read(LogPage page) {
        synchronized (this) {
            LeaseState state = decision.log().open(page.first());
            for (LogPage.Entry entry : page.records()) {
                state = state.apply(entry);
            }
            boolean atEnd = page.next() >= page.end();
            decision = decision.read(state, atEnd, timing, start, clock.nanos());
        }
        tell();
    }

    private void tick() {
        if (stopped) {
            return;
        }
        tell();
        attempt();
        clock.after(TICK, this::tick);
    }

    private void attempt() {
        LeaseRecord record;
        synchronized (this) {
            long now = clock.nanos();
            if (now - nextTryNanos < 0 || !decision.due(timing, waitNanos, now)) {
                return;
            }
            nextTryNanos = now + timing.renewal().toNanos();
            waitNanos = nextWait();
            record = new LeaseRecord(decision.self(), random.nextLong(), decision.log().through());
            decision = decision.trying(record, now);
        }
        meters.counter("hyssopturn.lease.tries").increment();
        log.append(STREAM, record.encode());
    }

    private void tell() {
        boolean now;
        synchronized (this) {
            now = decision.holds(clock.nanos());
            if (now == told) {
                return;
            }
            told = now;
        }
        logger.atInfo().log("lease=%s", now ? "taken" : "lost");
        meters.counter("hyssopturn.lease.changes", "state", now ? "taken" : "lost").increment();
        changes.accept(now);
    }
}
