package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** An engine of a {@link StreamModel}; it holds requests of streams until they end. */
final class ModelEngine implements StreamWorld.Engine {
    /** Time after a refusal in which an engine gets no request that could go elsewhere. */
    private static final Duration BACKOFF = Duration.ofMillis(70);

    private final StreamModel model;
    private final int index;
    private final boolean repeatsAll;
    private final List<Run> runs = new ArrayList<>();
    private Endpoint endpoint;
    private boolean listed = true;
    private boolean alive = true;
    private boolean silent;
    private boolean suspected;
    private long refusedNanos = -BACKOFF.toNanos();

    /** A request that the engine runs. */
    static final class Run {
        private final ModelStream stream;
        private final int attempt;
        private long next;
        private boolean begun;

        Run(ModelStream stream, int attempt, long next) {
            this.stream = stream;
            this.attempt = attempt;
            this.next = next;
        }

        ModelStream stream() {
            return stream;
        }

        int attempt() {
            return attempt;
        }
    }

    /**
     * Creates a sound engine.
     *
     * @param repeatsAll whether it sends all events again when a stream is continued; it sends
     *     those that are left otherwise, and the last one if none is
     */
    ModelEngine(StreamModel model, int index, boolean repeatsAll) {
        this.model = model;
        this.index = index;
        this.repeatsAll = repeatsAll;
        endpoint = endpoint(index, 1);
    }

    private static Endpoint endpoint(int index, long incarnation) {
        return new Endpoint(
                new InstanceId("e" + index),
                "writers",
                new Address("10.0.0." + (index + 1), 80),
                "zone",
                1,
                false,
                "",
                Optional.empty(),
                incarnation,
                1);
    }

    @Override
    public Endpoint endpoint() {
        return endpoint;
    }

    @Override
    public boolean alive() {
        return alive;
    }

    boolean silent() {
        return silent;
    }

    /** Returns whether the engine is listed and would finish what it runs. */
    boolean listedAndSound() {
        return listed && alive;
    }

    /** Returns whether the engine may be chosen. */
    @Override
    public boolean usable() {
        return listed && !suspected;
    }

    /** Returns whether the engine may be chosen by a stream that would end otherwise. */
    @Override
    public boolean listed() {
        return listed;
    }

    @Override
    public boolean recentlyRefused() {
        return model.now() - refusedNanos < BACKOFF.toNanos();
    }

    /** Returns whether this start of the engine is over. */
    boolean ended(Endpoint start) {
        return !alive || start.incarnation() != endpoint.incarnation();
    }

    @Override
    public void recordRefusal() {
        refusedNanos = model.now();
    }

    @Override
    public void suspect() {
        suspected = true;
    }

    void silence() {
        silent = true;
        suspected = true;
    }

    void goOn() {
        silent = false;
        suspected = false;
    }

    void changeListing() {
        listed = !listed;
    }

    /** Makes the engine sound and listed; one that had stopped starts anew. */
    void heal() {
        if (!alive) {
            startAgain();
        }
        listed = true;
        goOn();
    }

    /** Stops the engine; returns the requests that are lost. */
    List<Run> stop() {
        alive = false;
        List<Run> lost = List.copyOf(runs);
        runs.clear();
        return lost;
    }

    void startAgain() {
        alive = true;
        goOn();
        endpoint = endpoint(index, endpoint.incarnation() + 1);
    }

    @Override
    public void accept(StreamDriver stream, int attempt, OptionalLong resumeAfter) {
        long left = Math.min(resumeAfter.orElse(-1) + 1, ModelStream.EVENTS - 1);
        runs.add(new Run((ModelStream) stream, attempt, repeatsAll ? 0 : left));
        model.recordArrival((ModelStream) stream, endpoint);
    }

    @Override
    public void cancel(StreamDriver stream, int attempt) {
        runs.removeIf(run -> run.stream.equals(stream) && run.attempt == attempt);
    }

    /** Refuses a request that has not begun. */
    void refuse(Run run) {
        model.recordRefusal(run.stream, endpoint);
        run.stream.refused(run.attempt);
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    /** Lists the requests for which no event was sent yet. */
    List<Run> notBegun() {
        return runs.stream().filter(run -> !run.begun).toList();
    }

    /** Returns the oldest request of a stream. */
    Optional<Run> run(ModelStream stream) {
        return runs.stream().filter(run -> run.stream.equals(stream)).findFirst();
    }

    /** Returns the next event of a request if one is left. */
    OptionalLong nextEvent(Run run) {
        if (silent || run.next == ModelStream.EVENTS) {
            return OptionalLong.empty();
        }
        run.begun = true;
        return OptionalLong.of(run.next++);
    }

    /** Returns whether the answer to a request is complete. */
    static boolean complete(Run run) {
        return run.next == ModelStream.EVENTS;
    }

    /** Returns whether an answer that ends now is seen to end within an event. */
    static boolean endsWithinEvent(Run run) {
        return run.begun && !complete(run);
    }
}
