package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;
import hyssopturn.relay.RetryBudget.AnswerState;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** A node of a {@link MovesSimulation}; it knows of engines only what it has seen itself. */
final class LoadNode implements StreamWorld {
    /** Number of streams for which another engine is searched for in one tick. */
    private static final int MAX_SEARCHES = 4;

    /** Time in which an engine that does not answer a query is suspected. */
    private static final long QUERY_NANOS = Duration.ofMillis(150).toNanos();

    /** Backoff after a refusal, for each node. */
    private static final long BACKOFF_NANOS = Duration.ofMillis(70).toNanos();

    /** Number of backoffs during which a refusal adds to the estimated use. */
    private static final int PENALTY_BACKOFFS = 3;

    private static final String SERVICE = "writers";

    private final MovesSimulation simulation;
    private final SplittableRandom random;
    private final RetryBudget budget;
    private final RetryQueue queue = new RetryQueue();
    private final List<View> views = new ArrayList<>();
    private final Set<LoadStream> streams = new LinkedHashSet<>();

    LoadNode(
            MovesSimulation simulation,
            List<LoadEngine> engines,
            RetryBudget budget,
            SplittableRandom random) {
        this.simulation = simulation;
        this.budget = budget;
        this.random = random;
        engines.forEach(engine -> views.add(new View(engine)));
    }

    /** An engine as this node sees it. */
    final class View implements StreamWorld.Engine {
        private final LoadEngine engine;
        private long suspectedUntilNanos;
        private boolean queried;
        private long refusedNanos = Long.MIN_VALUE / 2;
        private int own;

        View(LoadEngine engine) {
            this.engine = engine;
        }

        @Override
        public Endpoint endpoint() {
            return engine.endpoint();
        }

        @Override
        public boolean alive() {
            return engine.alive();
        }

        @Override
        public boolean usable() {
            return !suspected() && listed();
        }

        @Override
        public boolean listed() {
            return engine.listed(now());
        }

        /** Returns whether the engine is suspected, for some time or until it answers. */
        boolean suspected() {
            return suspectedUntilNanos > 0
                    && (now() < suspectedUntilNanos || engine.unresponsive(now()));
        }

        @Override
        public boolean recentlyRefused() {
            return now() - refusedNanos < backoffNanos();
        }

        @Override
        public void suspect() {
            suspectedUntilNanos = now() + Roster.MIN_SUSPICION.toNanos();
        }

        @Override
        public void recordRefusal() {
            refusedNanos = now();
        }

        @Override
        public void accept(StreamDriver driver, int attempt, OptionalLong resumeAfter) {
            LoadStream stream = (LoadStream) driver;
            own++;
            if (stream.arrived(attempt)) {
                simulation.figures().recordRetry(now());
            }
            if (engine.refuses(now())) {
                later(() -> stream.refused(attempt));
                return;
            }
            long next = resumeAfter.orElse(-1) + 1;
            stream.accepted(attempt, engine.accept(stream, attempt, next, now()));
        }

        @Override
        public void cancel(StreamDriver driver, int attempt) {
            own--;
            ((LoadStream) driver).stop(attempt, engine);
        }

        private void query() {
            if (queried) {
                return;
            }
            queried = true;
            simulation.after(
                    QUERY_NANOS,
                    () -> {
                        queried = false;
                        if (engine.unresponsive(now()) && !suspected()) {
                            suspect();
                        }
                    });
        }

        private double cost() {
            double age = (now() - refusedNanos) / (double) backoffNanos();
            double penalty = Math.max(0, 1 - age / PENALTY_BACKOFFS) * simulation.usualRuns();
            return simulation.nodes() * (own + random.nextDouble()) + penalty;
        }
    }

    private long backoffNanos() {
        return BACKOFF_NANOS * simulation.nodes();
    }

    /** Returns the figures of a stream that begins now. */
    LoadFigures beginStream() {
        return simulation.beginStream();
    }

    /** Accepts a request of a caller. */
    void request() {
        simulation.figures().recordRequest(now());
        budget.recordRequest(SERVICE, now());
        LoadStream stream = new LoadStream(this);
        streams.add(stream);
        stream.startAttempt();
    }

    void tick() {
        if (streams.isEmpty()) {
            return;
        }
        List.copyOf(streams).forEach(LoadStream::expireIfDue);
        queue.tick(now());
        moveStreams();
        for (LoadStream stream : List.copyOf(streams)) {
            query(stream);
        }
    }

    private void moveStreams() {
        List<LoadStream> waiting =
                streams.stream()
                        .filter(LoadStream::waitsForSuspect)
                        .sorted(Comparator.comparingLong(LoadStream::lastDeliveryNanos))
                        .toList();
        boolean old = rule() == StreamWorld.Rule.CANCEL_HOLDER;
        waiting.stream()
                .limit(old ? Integer.MAX_VALUE : MAX_SEARCHES)
                .forEach(LoadStream::moveFromSuspect);
    }

    private void query(LoadStream stream) {
        Optional<View> engine = stream.newestEngine();
        if (engine.isPresent() && stream.newestWait().queryDue(now())) {
            stream.newestWait().markQueried(now());
            engine.get().query();
        }
    }

    @Override
    public StreamWorld.Rule rule() {
        return simulation.rule();
    }

    @Override
    public long now() {
        return simulation.now();
    }

    @Override
    public boolean allows(AnswerState state) {
        return budget.allows(SERVICE, state, now());
    }

    @Override
    public void recordRetry(AnswerState state) {
        budget.record(SERVICE, state, now());
    }

    @Override
    public RetryQueue retryQueue() {
        return queue;
    }

    @Override
    public void ended(StreamDriver stream) {
        streams.remove(stream);
        simulation.endStream(((LoadStream) stream).figures());
    }

    @Override
    public void later(Runnable task) {
        simulation.after(0, task);
    }

    @Override
    public Optional<StreamWorld.Engine> choose(Predicate<StreamWorld.Engine> condition) {
        View best = null;
        double least = Double.MAX_VALUE;
        for (View view : views) {
            if (condition.test(view)) {
                double cost = view.cost();
                if (cost < least) {
                    least = cost;
                    best = view;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    @Override
    public boolean gone(Endpoint start) {
        return views.stream()
                .filter(view -> view.endpoint().id().equals(start.id()))
                .noneMatch(view -> view.alive() || view.listed());
    }
}
