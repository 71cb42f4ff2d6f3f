package hyssopturn.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A stream of a {@link MovesSimulation}. */
final class LoadStream extends StreamDriver {
    /** Number of events of an answer; some 2 s of them. */
    static final int EVENTS = 40;

    /** Greatest number of engines that the route allows, as that of the stand-in's routes. */
    private static final int MAX_ENGINES = 2;

    private static final long TIMEOUT_NANOS = Duration.ofSeconds(20).toNanos();

    /** Times after which a silence is noticed, as those that routers are started with. */
    private static final RelaySettings SETTINGS =
            new RelaySettings(
                    "zone",
                    Duration.ofMillis(250),
                    Duration.ofMillis(150),
                    Duration.ofMillis(55),
                    Duration.ofMillis(250),
                    Duration.ofMillis(120),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    true,
                    true);

    private final LoadNode node;
    private final LoadFigures figures;
    private final StreamPace pace = new StreamPace();
    private final Map<Integer, EventWait> waits = new HashMap<>();
    private final Map<Integer, LoadEngine.Run> runs = new HashMap<>();
    private final Map<Integer, Integer> deliveries = new HashMap<>();
    private long lastEventNanos;
    private boolean sent;

    LoadStream(LoadNode node) {
        super(node, MAX_ENGINES, node.now() + TIMEOUT_NANOS);
        this.node = node;
        figures = node.beginStream();
    }

    LoadFigures figures() {
        return figures;
    }

    /** Records that a request arrived at an engine; returns whether it is one beyond the first. */
    boolean arrived(int attempt) {
        EventWait wait = new EventWait(SETTINGS, pace);
        wait.attemptStarted(node.now());
        waits.put(attempt, wait);
        boolean again = sent;
        sent = true;
        return again;
    }

    void accepted(int attempt, LoadEngine.Run run) {
        runs.put(attempt, run);
        figures.recordRun();
    }

    /** Ends the stream if its timeout has expired. */
    void expireIfDue() {
        if (node.now() >= timeoutNanos()) {
            end(StreamWorld.Outcome.TIMEOUT);
        }
    }

    /** Stops an attempt at its engine if the engine has it. */
    void stop(int attempt, LoadEngine engine) {
        Optional.ofNullable(runs.get(attempt))
                .ifPresent(
                        run -> {
                            engine.remove(run);
                            figures.recordWork(node.now() - run.startNanos());
                        });
    }

    /** Returns the engine of the newest attempt. */
    Optional<LoadNode.View> newestEngine() {
        return newest().isPresent()
                ? Optional.of((LoadNode.View) engine(newest().getAsInt()))
                : Optional.empty();
    }

    EventWait newestWait() {
        return waits.get(newest().getAsInt());
    }

    /** Returns whether the newest attempt waits for an engine that the node suspects. */
    boolean waitsForSuspect() {
        return newestEngine().filter(LoadNode.View::suspected).isPresent()
                && newestWait().checkDue(node.now())
                && newestWait().searchDue(node.now());
    }

    /** Tries another engine beside the newest attempt's one, which the node suspects. */
    void moveFromSuspect() {
        EventWait wait = newestWait();
        if (!tryBeside(newestEngine().orElseThrow())) {
            wait.markNotReplaced(node.now());
        }
    }

    @Override
    void besideFailed() {
        if (newest().isPresent()) {
            newestWait().markNotReplaced(node.now());
        }
    }

    @Override
    void delivered(int attempt, long event) {
        if (event > 0) {
            figures.recordPause(node.now() - lastEventNanos);
        }
        lastEventNanos = node.now();
        deliveries.merge(attempt, 1, Integer::sum);
        waits.get(attempt).delivered(node.now());
    }

    @Override
    void abandoned(int attempt, StreamWorld.Engine engine) {
        recordThrownAway(attempt);
    }

    @Override
    void leftBehind(int attempt, StreamWorld.Engine engine) {
        recordThrownAway(attempt);
    }

    private void recordThrownAway(int attempt) {
        LoadEngine.Run run = runs.get(attempt);
        if (run != null) {
            boolean useless = !deliveries.containsKey(attempt);
            figures.recordCancelled(useless ? node.now() - run.startNanos() : 0);
        }
    }

    @Override
    void ending(StreamWorld.Outcome how) {
        if (how != StreamWorld.Outcome.COMPLETE) {
            runs.keySet().stream().filter(this::open).forEach(this::recordThrownAway);
        }
        figures.recordEnd(how, begun());
    }
}
