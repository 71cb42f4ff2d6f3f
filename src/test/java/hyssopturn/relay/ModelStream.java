package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;

import java.util.ArrayList;
import java.util.List;

/** A stream of a {@link StreamModel}, which checks what its caller gets. */
final class ModelStream extends StreamDriver {
    /** Number of events of a complete answer. */
    static final int EVENTS = 3;

    /** Greatest number of engines that the route allows. */
    static final int MAX_ENGINES = 2;

    private static final int MAX_OPEN = 2;

    private final StreamModel model;
    private final List<Long> delivered = new ArrayList<>();
    private final List<Abandoned> abandoned = new ArrayList<>();

    ModelStream(StreamModel model, long timeoutNanos) {
        super(model, MAX_ENGINES, timeoutNanos);
        this.model = model;
    }

    /** An attempt that was cancelled while no other one had delivered. */
    private record Abandoned(ModelEngine engine, Endpoint start) {
        boolean wouldBeFinished() {
            return engine.listedAndSound() && !engine.ended(start);
        }
    }

    /** Handles that an engine is silent. */
    void suspect(ModelEngine engine) {
        if (newest().isPresent() && engine(newest().getAsInt()).equals(engine)) {
            tryBeside(engine);
        }
    }

    @Override
    void delivered(int attempt, long event) {
        if (event != delivered.size()) {
            throw new ModelFault(
                    ModelFault.Kind.EVENT_TWICE_OR_OUT_OF_ORDER, event + " after " + delivered);
        }
        delivered.add(event);
        abandoned.clear();
    }

    @Override
    void abandoned(int attempt, StreamWorld.Engine engine) {
        abandoned.add(new Abandoned((ModelEngine) engine, engine.endpoint()));
    }

    @Override
    void leftBehind(int attempt, StreamWorld.Engine engine) {
        // another attempt has delivered, so nothing is lost
    }

    @Override
    void besideFailed() {
        // the next silence is noticed again
    }

    @Override
    void ending(StreamWorld.Outcome how) {
        if (how == StreamWorld.Outcome.COMPLETE && delivered.size() != EVENTS) {
            throw new ModelFault(ModelFault.Kind.EVENTS_MISSING, "caller has " + delivered);
        }
        if (how == StreamWorld.Outcome.COMPLETE || how == StreamWorld.Outcome.LEFT) {
            return;
        }
        abandoned.stream()
                .filter(Abandoned::wouldBeFinished)
                .findFirst()
                .ifPresent(a -> failEnd(ModelFault.Kind.ENDED_THOUGH_RUNNING, how, a.engine()));
        if (begun() && how == StreamWorld.Outcome.GIVEN_UP && model.now() < timeoutNanos()) {
            model.find(e -> e.listedAndSound() && mayAttempt(e))
                    .ifPresent(e -> failEnd(ModelFault.Kind.ENDED_THOUGH_POSSIBLE, how, e));
        }
    }

    private void failEnd(ModelFault.Kind kind, StreamWorld.Outcome how, ModelEngine engine) {
        throw new ModelFault(
                kind,
                "%s after %s, %s would finish it"
                        .formatted(how, delivered, engine.endpoint().id().value()));
    }

    /** Checks that exactly the attempts that the stream knows are open, at most two. */
    void checkOpen() {
        if (openCount() > MAX_OPEN) {
            throw new ModelFault(ModelFault.Kind.TOO_MANY_OPEN, openCount() + " attempts");
        }
        for (int id = 1; id <= newestId(); id++) {
            if (open(id) != model.runs(this, id)) {
                throw new ModelFault(
                        ModelFault.Kind.ATTEMPT_LEFT_OPEN,
                        "attempt %d is %s at an engine".formatted(id, open(id) ? "not" : "open"));
            }
        }
    }
}
