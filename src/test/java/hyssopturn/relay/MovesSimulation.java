package hyssopturn.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Nodes and engines in virtual time: engines that are silent for a while, some that are full, and
 * some that end. Both rules see the same requests and faults for a seed.
 */
final class MovesSimulation {
    static final int ENGINES = 100;
    static final double RATIO = 0.2;
    static final double FIXED = 198;

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long MIN_SILENCE_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MAX_SILENCE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Mean time between silences. */
    private static final long SILENCE_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    private static final int ENDING_ENGINES = 3;

    /** Usual length of an answer. */
    private static final double ANSWER_SECONDS = 2;

    /** Requests a second of a node, and the least of all nodes together. */
    private static final int RATE_PER_NODE = 6;

    private static final int MIN_RATE = 300;

    private final Load load;
    private final LoadFigures figures = new LoadFigures(RATIO, FIXED);
    private final LoadFigures unmeasured = new LoadFigures(RATIO, FIXED);
    private final List<LoadEngine> engines = new ArrayList<>();
    private final List<LoadNode> nodes = new ArrayList<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final SplittableRandom requests;
    private final SplittableRandom faults;
    private final SplittableRandom pauses;
    private long now;
    private long added;
    private int measuredOpen;

    /** How much room engines have besides their usual load. */
    enum Room {
        /** No engine is full, and none fails. */
        NO_FAULTS(2, 0),
        /** They run twice what they usually run, and some are full. */
        AMPLE(2, 10),
        /** They run little more than usually, and many are full. */
        TIGHT(1.25, 20);

        private final double factor;
        private final int fullEngines;

        Room(double factor, int fullEngines) {
            this.factor = factor;
            this.fullEngines = fullEngines;
        }
    }

    /**
     * A load.
     *
     * @param nodes number of nodes
     * @param silent number of engines that are silent at once
     * @param room room of engines
     * @param rule what happens to attempts that are only silent
     * @param seed seed of requests and faults
     * @param time time in which faults begin and streams are measured; more requests arrive until
     *     those streams have ended
     */
    record Load(
            int nodes, int silent, Room room, StreamWorld.Rule rule, long seed, Duration time) {}

    private record Task(long atNanos, long number, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return atNanos == other.atNanos
                    ? Long.compare(number, other.number)
                    : Long.compare(atNanos, other.atNanos);
        }
    }

    private MovesSimulation(Load load) {
        this.load = load;
        SplittableRandom random = new SplittableRandom(load.seed());
        requests = random.split();
        faults = random.split();
        pauses = random.split();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new LoadEngine(i, i < load.room().fullEngines ? 0 : slots()));
        }
        for (int i = 0; i < load.nodes(); i++) {
            RetryBudget budget =
                    new RetryBudget(RATIO, WINDOW.toNanos(), FIXED, 1.0 / load.nodes());
            nodes.add(new LoadNode(this, engines, budget, random.split()));
        }
    }

    /** Runs a load; returns what was counted. */
    static LoadFigures run(Load load) {
        MovesSimulation simulation = new MovesSimulation(load);
        if (load.room() != Room.NO_FAULTS) {
            simulation.planFaults();
        }
        simulation.run();
        return simulation.figures;
    }

    private void planFaults() {
        long end = load.time().toNanos();
        for (long at = SECOND_NANOS;
                at < end;
                at += faults.nextLong(SILENCE_INTERVAL_NANOS / 2, SILENCE_INTERVAL_NANOS * 3 / 2)) {
            for (int engine : drawEngines(load.silent())) {
                long length = faults.nextLong(MIN_SILENCE_NANOS, MAX_SILENCE_NANOS);
                long until = at + length;
                after(at, () -> engines.get(engine).silence(until));
            }
        }
        for (int engine : drawEngines(ENDING_ENGINES)) {
            long at = faults.nextLong(end);
            boolean closes = faults.nextBoolean();
            after(at, () -> engines.get(engine).end(closes, now));
        }
    }

    private List<Integer> drawEngines(int count) {
        List<Integer> drawn = new ArrayList<>();
        while (drawn.size() < count) {
            int engine = faults.nextInt(ENGINES);
            if (!drawn.contains(engine)) {
                drawn.add(engine);
            }
        }
        return drawn;
    }

    private void run() {
        while (now < load.time().toNanos() || measuredOpen > 0) {
            runTasks();
            sendRequests();
            engines.forEach(engine -> engine.tick(now, pauses));
            nodes.forEach(LoadNode::tick);
            now += TICK_NANOS;
        }
    }

    private void runTasks() {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= now) {
            tasks.remove().action().run();
        }
    }

    private void sendRequests() {
        double mean = (double) rate() * TICK_NANOS / SECOND_NANOS;
        int count = (int) Math.round(2 * mean * requests.nextDouble());
        for (int i = 0; i < count; i++) {
            nodes.get(requests.nextInt(nodes.size())).request();
        }
    }

    private int rate() {
        return Math.max(MIN_RATE, RATE_PER_NODE * load.nodes());
    }

    private int slots() {
        return (int) Math.ceil(load.room().factor * usualRuns());
    }

    /** Returns the usual number of requests that an engine runs at once. */
    double usualRuns() {
        return ANSWER_SECONDS * rate() / (ENGINES - load.room().fullEngines);
    }

    /** Runs a task after some time, in the next tick at the earliest. */
    void after(long nanos, Runnable action) {
        tasks.add(new Task(Math.max(now + nanos, now + 1), added++, action));
    }

    /** Returns the figures of all requests, for the budget. */
    LoadFigures figures() {
        return figures;
    }

    /** Returns the figures of a stream that begins now; it is measured while faults begin. */
    LoadFigures beginStream() {
        boolean measured = now < load.time().toNanos();
        measuredOpen += measured ? 1 : 0;
        return measured ? figures : unmeasured;
    }

    /** Handles the end of a stream with some figures. */
    void endStream(LoadFigures of) {
        measuredOpen -= of.equals(figures) ? 1 : 0;
    }

    StreamWorld.Rule rule() {
        return load.rule();
    }

    int nodes() {
        return nodes.size();
    }

    long now() {
        return now;
    }
}
