package hyssopturn.relay;

import hyssopturn.relay.RetryBudget.AnswerState;

import io.vertx.core.buffer.Buffer;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SequencedMap;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A stream in virtual time: drives {@link StreamAttempts} with the decisions of {@link StreamCall},
 * {@link ChainMoves} and {@link Resumption}, without their I/O. Chains have one engine.
 */
abstract class StreamDriver implements RetryQueue.Member {
    /** Maximum number of times that a request is sent, as in {@link Call}. */
    private static final int MAX_SENT = 4;

    /** Time after the last event at which the old rule ended a stream that waited. */
    private static final Duration OLD_PATIENCE = Duration.ofMillis(1_800);

    /** Number of refusals of a stream that began which the old rule did not count. */
    private static final int OLD_UNCOUNTED_REFUSALS = 4;

    /** Greatest number of events of an answer. */
    private static final int MAX_EVENTS = 200;

    private static final List<EventFramer.Event> EVENTS = events();

    private final StreamWorld world;
    private final int maxEngines;
    private final long timeoutNanos;
    private final StreamAttempts attempts = new StreamAttempts(OptionalLong.empty());
    private final SequencedMap<Integer, StreamWorld.Engine> open = new LinkedHashMap<>();
    private final AttemptedEndpoints attempted = new AttemptedEndpoints();
    private final Set<StreamWorld.Engine> excluded = new HashSet<>();
    private Optional<StreamWorld.Outcome> outcome = Optional.empty();
    private long lastDeliveryNanos;
    private int newestId;
    private int sent;
    private int refusals;
    private int refusalsInRow;
    private int uncounted;
    private boolean begun;
    private boolean moved;
    private boolean counted;

    /**
     * Creates a stream that was not sent yet.
     *
     * @param maxEngines greatest number of engines that its route allows
     * @param timeoutNanos time at which its timeout expires
     */
    StreamDriver(StreamWorld world, int maxEngines, long timeoutNanos) {
        this.world = world;
        this.maxEngines = maxEngines;
        this.timeoutNanos = timeoutNanos;
    }

    private static List<EventFramer.Event> events() {
        StringBuilder text = new StringBuilder();
        for (int id = 0; id < MAX_EVENTS; id++) {
            text.append("id: %d\ndata: t%d\n\n".formatted(id, id));
        }
        return new EventFramer().feed(Buffer.buffer(text.toString()));
    }

    /** Handles an event that is delivered to the caller. */
    abstract void delivered(int attempt, long event);

    /** Handles the end of an attempt that was cancelled while no other one had delivered. */
    abstract void abandoned(int attempt, StreamWorld.Engine engine);

    /** Handles the end of an attempt that was cancelled since the other one goes on. */
    abstract void leftBehind(int attempt, StreamWorld.Engine engine);

    /** Handles the failure of the attempt beside the one that holds the stream. */
    abstract void besideFailed();

    /** Handles the end of the stream, whose attempts are still open. */
    abstract void ending(StreamWorld.Outcome how);

    final Optional<StreamWorld.Outcome> outcome() {
        return outcome;
    }

    final boolean ended() {
        return outcome.isPresent();
    }

    final long timeoutNanos() {
        return timeoutNanos;
    }

    @Override
    public final boolean begun() {
        return begun;
    }

    final boolean open(int attempt) {
        return attempts.open(attempt);
    }

    final int newestId() {
        return newestId;
    }

    final int openCount() {
        return open.size();
    }

    final long lastDeliveryNanos() {
        return lastDeliveryNanos;
    }

    /** Returns the attempt that was opened last and is still open, if it was sent. */
    final OptionalInt newest() {
        return open.isEmpty() ? OptionalInt.empty() : OptionalInt.of(open.lastEntry().getKey());
    }

    /** Returns the engine of an open attempt. */
    final StreamWorld.Engine engine(int attempt) {
        return open.get(attempt);
    }

    /** Sends the request, or gives up or waits if that is not possible. */
    final void startAttempt() {
        if (begun) {
            resume();
        } else if (!sendNext()) {
            end(StreamWorld.Outcome.GIVEN_UP);
        }
    }

    private void resume() {
        boolean old = oldRule();
        Duration pause = old ? Duration.ZERO : Resumption.pause(refusalsInRow);
        if (pause.isZero() && startNow()) {
            return;
        }
        long leavesNanos = lastDeliveryNanos + OLD_PATIENCE.toNanos();
        long untilNanos = old ? Math.min(leavesNanos, timeoutNanos) : timeoutNanos;
        long now = world.now();
        if (now >= untilNanos || (old && !affordable())) {
            end(StreamWorld.Outcome.GIVEN_UP);
            return;
        }
        counted = false;
        long pauseNanos = Math.max(pause.toNanos(), RetryQueue.SEARCH_INTERVAL.toNanos());
        world.retryQueue().add(this, leavesNanos, untilNanos, now + pauseNanos);
    }

    private boolean oldRule() {
        return world.rule() == StreamWorld.Rule.CANCEL_HOLDER;
    }

    private boolean startNow() {
        if (!affordable()) {
            return false;
        }
        boolean paid = counted;
        counted = true;
        if (!sendNext()) {
            counted = paid;
            return false;
        }
        if (!paid) {
            world.recordRetry(AnswerState.STARTED);
        }
        return true;
    }

    @Override
    public final boolean affordable() {
        return counted || world.allows(AnswerState.STARTED);
    }

    @Override
    public final boolean tryStart() {
        return ended() || startNow();
    }

    @Override
    public final void endWait() {
        end(
                world.now() >= timeoutNanos
                        ? StreamWorld.Outcome.TIMEOUT
                        : StreamWorld.Outcome.GIVEN_UP);
    }

    private boolean sendNext() {
        Optional<StreamWorld.Engine> found = findNext();
        found.ifPresent(this::send);
        return found.isPresent();
    }

    private Optional<StreamWorld.Engine> findNext() {
        Predicate<StreamWorld.Engine> notExcluded = e -> !excluded.contains(e) && mayAttempt(e);
        return findWithRoom(notExcluded)
                .or(() -> world.choose(e -> e.usable() && notExcluded.test(e)))
                .or(() -> world.choose(e -> moved && e.listed() && notExcluded.test(e)))
                .or(
                        () ->
                                begun
                                        ? findWithRoom(e -> !openAt(e) && mayAttempt(e))
                                        : Optional.empty());
    }

    private boolean openAt(StreamWorld.Engine engine) {
        return open.containsValue(engine);
    }

    private Optional<StreamWorld.Engine> findWithRoom(Predicate<StreamWorld.Engine> condition) {
        return world.choose(e -> e.usable() && !e.recentlyRefused() && condition.test(e));
    }

    /** Returns whether the route allows an attempt at an engine. */
    final boolean mayAttempt(StreamWorld.Engine engine) {
        return attempted.contains(engine.endpoint()) || attempted.count(world::gone) < maxEngines;
    }

    private void send(StreamWorld.Engine engine) {
        StreamAttempts.Begin begin = attempts.begin();
        begin.cancelled().ifPresent(this::abandon);
        newestId = begin.id();
        sent++;
        attempted.add(engine.endpoint());
        if (engine.alive()) {
            open.put(begin.id(), engine);
            engine.accept(this, begin.id(), attempts.lastDelivered());
            world.later(() -> counted = false);
        } else {
            world.later(() -> unreachable(begin.id(), engine));
        }
    }

    private void unreachable(int id, StreamWorld.Engine engine) {
        if (!attempts.open(id)) {
            return;
        }
        sent--;
        excluded.add(engine);
        attempted.markEnded(engine.endpoint());
        engine.suspect();
        if (attempts.fail(id) == StreamAttempts.AfterFailure.NONE_OPEN) {
            startAttempt();
        }
    }

    /**
     * Tries another engine beside the newest attempt's one, which is silent, if a retry is allowed
     * and one has room; returns whether it is tried.
     */
    final boolean tryBeside(StreamWorld.Engine suspect) {
        Optional<Integer> lost =
                oldRule()
                        ? Optional.empty()
                        : open.keySet().stream().filter(id -> open.get(id).lost()).findFirst();
        AnswerState state = lost.isPresent() ? answerState() : AnswerState.SILENT;
        boolean full = attempts.twoOpen() && lost.isEmpty();
        if (attemptsUsedUp() || !world.allows(state) || full) {
            return false;
        }
        Optional<StreamWorld.Engine> other =
                findOther(e -> !e.equals(suspect) && !excluded.contains(e) && mayMove(e))
                        .or(() -> findAgain(suspect));
        if (other.isEmpty()) {
            return false;
        }
        if (attempts.twoOpen()) {
            drop(lost.orElseThrow());
        }
        moved = true;
        world.recordRetry(state);
        counted = true;
        if (oldRule()) {
            int holder = open.lastEntry().getKey();
            attempts.fail(holder);
            abandon(holder);
        }
        send(other.get());
        return true;
    }

    private AnswerState answerState() {
        return begun ? AnswerState.STARTED : AnswerState.NOT_STARTED;
    }

    private boolean mayMove(StreamWorld.Engine engine) {
        return mayAttempt(engine) && (oldRule() || !openAt(engine));
    }

    /** Finds an engine that may have refused the stream before, and has room again. */
    private Optional<StreamWorld.Engine> findAgain(StreamWorld.Engine suspect) {
        return begun && !oldRule()
                ? findWithRoom(e -> !e.equals(suspect) && mayMove(e))
                : Optional.empty();
    }

    /** Cancels an attempt at a lost engine while the other one goes on. */
    private void drop(int id) {
        attempts.fail(id);
        cancel(id);
    }

    /** Finds another engine with room; the old rule also took one that had just refused. */
    private Optional<StreamWorld.Engine> findOther(Predicate<StreamWorld.Engine> condition) {
        return findWithRoom(condition)
                .or(
                        () ->
                                oldRule()
                                        ? world.choose(e -> e.usable() && condition.test(e))
                                        : Optional.empty());
    }

    private boolean attemptsUsedUp() {
        int most = oldRule() ? OLD_UNCOUNTED_REFUSALS : Integer.MAX_VALUE;
        return sent - uncounted - (begun ? Math.min(refusals, most) : 0) >= MAX_SENT;
    }

    private void abandon(int id) {
        cancel(id).ifPresent(engine -> abandoned(id, engine));
    }

    private Optional<StreamWorld.Engine> cancel(int id) {
        Optional<StreamWorld.Engine> engine = Optional.ofNullable(open.remove(id));
        engine.ifPresent(e -> e.cancel(this, id));
        return engine;
    }

    /** Handles an event of an attempt. */
    final void event(int id, long event) {
        switch (attempts.event(id, EVENTS.get((int) event))) {
            case StreamAttempts.Reaction.Deliver deliver -> {
                begun = true;
                refusalsInRow = 0;
                lastDeliveryNanos = world.now();
                delivered(id, event);
                deliver.cancelled().ifPresent(this::leaveBehind);
            }
            case StreamAttempts.Reaction.Fail failure -> recover(id);
            case StreamAttempts.Reaction.Skip skip -> {
                // the caller has the event
            }
            case StreamAttempts.Reaction.Ignore ignore ->
                    throw new ModelFault(ModelFault.Kind.ATTEMPT_LEFT_OPEN, "attempt " + id);
        }
    }

    private void leaveBehind(int other) {
        uncounted++;
        cancel(other).ifPresent(engine -> leftBehind(other, engine));
    }

    /** Handles that an engine refused an attempt. */
    final void refused(int id) {
        if (!attempts.open(id)) {
            return;
        }
        StreamWorld.Engine engine = open.get(id);
        excluded.add(engine);
        refusals++;
        refusalsInRow++;
        attempted.withdraw(engine.endpoint());
        engine.recordRefusal();
        recover(id);
    }

    /** Handles the end of an attempt's answer. */
    final void answerEnded(int id, boolean incomplete) {
        switch (attempts.end(id, incomplete || !begun)) {
            case COMPLETE -> end(StreamWorld.Outcome.COMPLETE);
            case TORN -> recover(id);
            case IGNORED ->
                    throw new ModelFault(ModelFault.Kind.ATTEMPT_LEFT_OPEN, "attempt " + id);
        }
    }

    /** Handles an attempt that failed. */
    final void recover(int id) {
        if (!attempts.open(id)) {
            return;
        }
        boolean wasBeside = attempts.newest().equals(OptionalInt.of(id));
        cancel(id);
        if (attempts.fail(id) == StreamAttempts.AfterFailure.OTHER_OPEN) {
            if (wasBeside) {
                besideFailed();
            }
        } else if (attemptsUsedUp()) {
            end(StreamWorld.Outcome.ATTEMPTS_USED_UP);
        } else if (begun) {
            startAttempt();
        } else if (world.allows(AnswerState.NOT_STARTED)) {
            world.recordRetry(AnswerState.NOT_STARTED);
            startAttempt();
        } else {
            end(StreamWorld.Outcome.GIVEN_UP);
        }
    }

    /** Ends the stream and cancels its attempts. */
    final void end(StreamWorld.Outcome how) {
        if (ended()) {
            return;
        }
        outcome = Optional.of(how);
        ending(how);
        List.copyOf(open.keySet()).forEach(this::cancel);
        attempts.close();
        world.retryQueue().remove(this);
        world.ended(this);
    }
}
