package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** An engine of a {@link MovesSimulation}, which all nodes share. */
final class LoadEngine {
    /** Time after its end until an engine is not listed any more. */
    private static final long EXPIRY_NANOS = Duration.ofMillis(2_500).toNanos();

    private static final long FIRST_EVENT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MIN_GAP_NANOS = Duration.ofMillis(40).toNanos();
    private static final long MAX_GAP_NANOS = Duration.ofMillis(60).toNanos();
    private static final long SLOW_GAP_NANOS = Duration.ofMillis(300).toNanos();

    /** One in this number of events of a sound engine is slow. */
    private static final int SLOW_EVENTS = 200;

    private final Endpoint endpoint;
    private final int slots;
    private final List<Run> runs = new ArrayList<>();
    private long silentUntilNanos;
    private long endNanos = Long.MAX_VALUE;

    /** A request that the engine runs. */
    static final class Run {
        private final LoadStream stream;
        private final int attempt;
        private final long startNanos;
        private long next;
        private long dueNanos;
        private boolean removed;

        Run(LoadStream stream, int attempt, long next, long startNanos) {
            this.stream = stream;
            this.attempt = attempt;
            this.next = next;
            this.startNanos = startNanos;
            dueNanos = startNanos + FIRST_EVENT_NANOS;
        }

        long startNanos() {
            return startNanos;
        }
    }

    /**
     * Creates an engine.
     *
     * @param slots greatest number of requests that it runs at once; it refuses others
     */
    LoadEngine(int index, int slots) {
        this.slots = slots;
        endpoint =
                new Endpoint(
                        new InstanceId("e" + index),
                        "writers",
                        new Address("10.0.0.1", index + 1),
                        "zone",
                        1,
                        false,
                        "",
                        Optional.empty(),
                        1,
                        1);
    }

    Endpoint endpoint() {
        return endpoint;
    }

    /** Returns whether the engine refuses a request that arrives now. */
    boolean refuses(long nowNanos) {
        return runs.size() >= slots && nowNanos >= silentUntilNanos;
    }

    boolean alive() {
        return endNanos == Long.MAX_VALUE;
    }

    boolean listed(long nowNanos) {
        return alive() || nowNanos < endNanos + EXPIRY_NANOS;
    }

    /** Returns whether the engine answers nothing. */
    boolean unresponsive(long nowNanos) {
        return !alive() || nowNanos < silentUntilNanos;
    }

    void silence(long untilNanos) {
        silentUntilNanos = Math.max(silentUntilNanos, untilNanos);
    }

    /**
     * Ends the engine.
     *
     * @param closes whether its connections are closed; streams see only silence otherwise
     */
    void end(boolean closes, long nowNanos) {
        endNanos = nowNanos;
        if (closes) {
            List.copyOf(runs).forEach(run -> run.stream.recover(run.attempt));
        }
    }

    Run accept(LoadStream stream, int attempt, long next, long nowNanos) {
        Run run = new Run(stream, attempt, next, nowNanos);
        runs.add(run);
        return run;
    }

    void remove(Run run) {
        run.removed = true;
        runs.remove(run);
    }

    /** Sends the events that are due. */
    void tick(long nowNanos, SplittableRandom random) {
        if (unresponsive(nowNanos) || runs.isEmpty()) {
            return;
        }
        for (Run run : List.copyOf(runs)) {
            if (nowNanos >= run.dueNanos && !run.removed) {
                send(run, nowNanos, random);
            }
        }
    }

    private static void send(Run run, long nowNanos, SplittableRandom random) {
        run.dueNanos = nowNanos + gap(random);
        long event = run.next++;
        run.stream.event(run.attempt, event);
        if (event == LoadStream.EVENTS - 1) {
            run.stream.answerEnded(run.attempt, false);
        }
    }

    private static long gap(SplittableRandom random) {
        return random.nextInt(SLOW_EVENTS) == 0
                ? SLOW_GAP_NANOS
                : random.nextLong(MIN_GAP_NANOS, MAX_GAP_NANOS + 1);
    }
}
