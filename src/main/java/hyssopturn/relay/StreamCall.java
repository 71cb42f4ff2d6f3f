package hyssopturn.relay;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.chain.EngineChain;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.overload.Ticket;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.Set;

/**
 * A request whose answer is a stream of events from a chain of engines.
 *
 * <p>Only complete events are passed on, each once and in order. When a chain fails, another one
 * continues after the last event that the caller has, within the same answer. While a chain is only
 * silent, another one is tried beside it, and the first that delivers the next event goes on.
 */
final class StreamCall extends Call {
    /**
     * Number of deliveries after which an answer counts as begun; an engine that crashes as it
     * begins to write may still have sent the first event.
     */
    private static final int DELIVERIES_OF_BEGUN_ANSWER = 2;

    /** Number of attempts that may be lost with their engines before the answer has begun. */
    private static final int MAX_LOST_BEGINNINGS = 2;

    private static final String OTHER_GOES_ON = "other attempt goes on";

    private final ChainFinder chainFinder;
    private final StallDetector stallDetector;
    private final StreamAttempts attempts;
    private final SequencedMap<Integer, StreamAttempt> open = new LinkedHashMap<>();
    private final StreamPace pace = new StreamPace();
    private final ChainMoves moves;
    private final Resumption resumption;
    private final SilenceWait silenceWait;
    private final StreamCounting counting;
    private final EngineSpec spec;
    private final StreamGate gate;
    private final Ticket ticket;
    private final Set<InstanceId> avoidedFirst = new HashSet<>();
    private int possibleRuns;
    private boolean moved;
    private boolean begun;
    private boolean lossSuspected;
    private int lostBeginnings;

    StreamCall(
            RelayContext context,
            HttpServerRequest request,
            Admitted admitted,
            EngineSpec spec,
            StallDetector stallDetector) {
        super(context, request, admitted, stallDetector.checks());
        this.stallDetector = stallDetector;
        chainFinder = new ChainFinder(context, admitted, spec);
        attempts = new StreamAttempts(admitted.headers().resumeAfter());
        moves = new ChainMoves(context, this, chainFinder);
        resumption = new Resumption(context, this, stallDetector.retryQueue());
        silenceWait = new SilenceWait(context, this, stallDetector.retryQueue());
        counting = new StreamCounting(context.load().own(), admitted);
        this.spec = spec;
        gate = stallDetector.gate();
        ticket = StreamGate.ticket(admitted, chainFinder.tokens());
    }

    @Override
    void startAttempt() {
        if (endIfQuarantined()) {
            return;
        }
        counting.asked();
        if (response.headWritten()) {
            resumption.start();
            return;
        }
        if (!gate.admit(this) || tryStartWithCapacity().isEmpty() || silenceWait.start()) {
            return;
        }
        if (!gate.holdWithoutChain(this)) {
            startOrGiveUp();
        }
    }

    /** Starts the first attempt of a stream that was held, if there are engines with room. */
    void startHeld() {
        if (!endIfQuarantined()) {
            tryStartWithCapacity();
        }
    }

    /** Returns whether the stream is new and was not started; others are never held. */
    boolean needsAdmission() {
        return !ticket.started()
                && !ended()
                && !mayHaveRun()
                && admitted.headers().resumeAfter().isEmpty();
    }

    Ticket ticket() {
        return ticket;
    }

    EngineSpec spec() {
        return spec;
    }

    /** Returns the number of tokens that the stream may hold at an engine. */
    long tokens() {
        return chainFinder.tokens();
    }

    @Override
    Optional<Duration> retryAfterForRoom() {
        return gate.retryAfter(this);
    }

    /** Starts an attempt on any chain, or ends a request that has no answer yet. */
    void startOrGiveUp() {
        tryStart().ifPresent(obstacle -> giveUp(lastFailureOr(obstacle)));
    }

    /** Starts an attempt if possible; returns what stands in its way, empty if nothing does. */
    Optional<String> tryStart() {
        return tryStart(findNextChain());
    }

    /** Starts an attempt if there is a chain of engines that have not refused one recently. */
    Optional<String> tryStartWithCapacity() {
        return tryStart(findChainWithCapacity(excluded));
    }

    private Optional<String> tryStart(Optional<EngineChain> found) {
        if (found.isEmpty()) {
            return Optional.of("no chain");
        }
        InterZoneBudget.Use use =
                response.headWritten() ? InterZoneBudget.Use.BEGUN : InterZoneBudget.Use.NEW;
        if (!chainFinder.reserveZoneLinks(found.get().links(), use)) {
            return Optional.of(ChainFinder.NO_LINK_TIME);
        }
        startOn(found.get());
        return Optional.empty();
    }

    /** Ends the request if a part of its prompt is held back; returns whether it ended. */
    boolean endIfQuarantined() {
        Optional<Duration> quarantine = context.prompts().check(sharedParts());
        quarantine.ifPresent(left -> giveUp("part of the prompt in quarantine", left));
        return quarantine.isPresent();
    }

    /** Finds a chain for the next attempt, also a doubtful one if there is no other. */
    private Optional<EngineChain> findNextChain() {
        return findChain(excluded).or(this::findLastResort).or(this::findRecovered);
    }

    /**
     * Finds a chain for an answer that began and would end otherwise; engines that refused it some
     * time ago may have room again.
     */
    private Optional<EngineChain> findRecovered() {
        return findChainAgain(Set.of());
    }

    /** Finds a chain for an answer that began, also of engines that refused it some time ago. */
    Optional<EngineChain> findChainAgain(Set<InstanceId> unusable) {
        return response.headWritten()
                ? chainFinder.findWithCapacity(e -> mayAttempt(e) && !openAt(e), unusable)
                : Optional.empty();
    }

    /** Finds a chain for the next attempt. */
    private Optional<EngineChain> findChain(Set<InstanceId> unusable) {
        return findChainWithCapacity(unusable)
                .or(() -> chainFinder.findDoubtful(this::mayAttempt, unusable));
    }

    /** Finds a chain of engines that have not refused a request recently. */
    Optional<EngineChain> findChainWithCapacity(Set<InstanceId> unusable) {
        return chainFinder.findWithCapacity(
                e -> mayAttempt(e) && !avoidedFirst.contains(e.id()) && !openAt(e), unusable);
    }

    /**
     * Finds a chain for a request that was moved from a suspected engine and would end otherwise:
     * the engine may only have been silent.
     */
    private Optional<EngineChain> findLastResort() {
        return moved ? chainFinder.findSuspected(this::mayAttempt, excluded) : Optional.empty();
    }

    /** Returns whether a chain with room would be at hand if silent engines went on. */
    boolean blockedBySilence() {
        return chainFinder.blockedBySilence(this::mayAttempt, excluded);
    }

    /** Sends the request to a chain, beside the attempt that holds the stream if there is one. */
    private void startOn(EngineChain found) {
        chainFinder.countCrossing(found);
        StreamAttempts.Begin begin = attempts.begin();
        begin.cancelled().ifPresent(this::cancelAttempt);
        StreamAttempt attempt =
                new StreamAttempt(context, this, begin.id(), found, chainFinder.tokens(), pace);
        open.put(begin.id(), attempt);
        counting.started();
        gate.started(this);
        attempt.start(attempts.lastDelivered());
    }

    private void cancelAttempt(int id) {
        open.remove(id).cancel();
    }

    private List<String> sharedParts() {
        return admitted.headers().sharedParts();
    }

    /** Records that the attempt ended with its connection, perhaps since its engine crashed. */
    private void recordLoss(Endpoint engine) {
        if (!begun) {
            lostBeginnings++;
            stallDetector.crashes().recordLoss(engine, sharedParts());
        }
    }

    /** Records that the attempt waits for an engine that may have crashed, or is only silent. */
    void suspectLoss(Endpoint engine) {
        if (!begun) {
            lossSuspected = true;
            stallDetector.crashes().recordLoss(engine, sharedParts());
        }
    }

    @Override
    Optional<String> repeatObstacle() {
        if (begun || (lostBeginnings == 0 && !lossSuspected)) {
            return Optional.empty();
        }
        if (lostBeginnings >= MAX_LOST_BEGINNINGS) {
            return Optional.of("lost at several engines");
        }
        return context.prompts().implicated(sharedParts())
                ? Optional.of("part of the prompt suspected")
                : Optional.empty();
    }

    /** Returns whether an attempt is not open any more. */
    boolean stale(StreamAttempt attempt) {
        return ended() || !attempts.open(attempt.id());
    }

    /** Handles that no connection to the first engine of an attempt could be opened. */
    void unreachable(StreamAttempt attempt, Throwable error) {
        if (stale(attempt)) {
            return;
        }
        if (error instanceof UnsendableRequestException) {
            refuseUnsendable(attempt.first());
            return;
        }
        openFailed(attempt.first(), error);
        leaveUnsent(attempt);
    }

    /** Returns whether an attempt may be sent now that its connection is open. */
    boolean maySend(StreamAttempt attempt) {
        if (paused(attempt.first())) {
            withdraw(attempt.first());
            leaveUnsent(attempt);
            return false;
        }
        possibleRuns++;
        markSending();
        resumption.markSent();
        stallDetector.add(this);
        return true;
    }

    /** Closes an attempt of which nothing was sent; starts the next one if none is left. */
    private void leaveUnsent(StreamAttempt attempt) {
        if (!close(attempt)) {
            attempt();
        }
    }

    /** Closes an attempt that failed; returns whether another one is open. */
    private boolean close(StreamAttempt attempt) {
        boolean wasBeside = attempts.twoOpen() && newest().filter(attempt::equals).isPresent();
        boolean otherOpen = attempts.fail(attempt.id()) == StreamAttempts.AfterFailure.OTHER_OPEN;
        cancelAttempt(attempt.id());
        if (wasBeside) {
            newest().ifPresent(holder -> holder.eventWait().markNotReplaced(now()));
        }
        if (!otherOpen) {
            stallDetector.remove(this);
        }
        return otherOpen;
    }

    /** Prefers other engines as the first one of the next chain. */
    void avoidFirst(Endpoint first) {
        avoidedFirst.add(first.id());
    }

    /** Handles the refusal of an engine, which may be a later one of the chain. */
    void refused(StreamAttempt attempt, InstanceId refusing) {
        possibleRuns--;
        markNotRun(possibleRuns > 0);
        excluded.add(refusing);
        withdrawRefused(attempt.first());
        context.load().recordRefusal(refusing, now());
        gate.refusedByEngine(this);
        resumption.markRefused();
        recover(attempt, "engine refused");
    }

    /** Returns whether an answer can continue the one that the caller receives. */
    boolean continues(HttpClientResponse answer) {
        return !response.headWritten()
                || mediaType(answer.headers()).equals(mediaType(response.headers()));
    }

    private static String mediaType(MultiMap headers) {
        String type = Optional.ofNullable(headers.get("Content-Type")).orElse("");
        return type.replaceFirst(";.*", "").strip().toLowerCase(Locale.ROOT);
    }

    /** Passes on an error that the engine reports, unless the request can be retried. */
    void handleStatus(StreamAttempt attempt, EndpointReply reply, HttpClientResponse answer) {
        if ((reply.failure() && admitted.route().retryPolicy().allowsRetry())
                || response.headWritten()
                || attempts.twoOpen()) {
            recover(attempt, "engine failed");
            return;
        }
        BoundedBody.read(answer, context.clock(), context.answerMemory())
                .onComplete(
                        body -> passStatus(attempt, reply, answer, body),
                        e -> recover(attempt, "answer cut off"));
    }

    private void passStatus(
            StreamAttempt attempt, EndpointReply reply, HttpClientResponse answer, Buffer body) {
        if (stale(attempt)) {
            return;
        }
        finish("endpoint-status", reply.status(), "");
        leaveComplete(attempt);
        response.setStatusCode(reply.status());
        HopByHopHeaders.copyEndToEnd(answer.headers(), response.headers());
        response.end(body);
    }

    /** Releases an attempt whose answer is complete, and cancels the other one. */
    private void leaveComplete(StreamAttempt attempt) {
        open.remove(attempt.id());
        attempt.release();
        release();
    }

    /** Decides what to do with an event; if its attempt goes on, the other one is cancelled. */
    StreamAttempts.Reaction decide(StreamAttempt attempt, EventFramer.Event event) {
        StreamAttempts.Reaction reaction = attempts.event(attempt.id(), event);
        switch (reaction) {
            case StreamAttempts.Reaction.Deliver deliver ->
                    deliver.cancelled().ifPresent(this::leaveBehind);
            case StreamAttempts.Reaction.Skip skip -> countEvent("skipped");
            case StreamAttempts.Reaction.Ignore ignore -> countEvent("late");
            case StreamAttempts.Reaction.Fail failure -> countEvent("wrong");
        }
        return reaction;
    }

    private void countEvent(String fate) {
        context.meters().counter("hyssopturn.stream.events.dropped", "fate", fate).increment();
    }

    private void leaveBehind(int id) {
        String which = open.firstEntry().getKey() == id ? "moved" : "stayed";
        context.meters().counter("hyssopturn.stream.pairs", "result", which).increment();
        markUncounted();
        cancelAttempt(id);
    }

    /** Passes events on to the caller. */
    void deliver(StreamAttempt attempt, HttpClientResponse answer, ReadPacer pacer, Buffer ready) {
        if (ready.length() == 0) {
            return;
        }
        stallDetector.recordEvents(attempt);
        if (!response.headWritten()) {
            gate.begun(this);
        }
        recordDelivery();
        counting.delivered(now());
        resumption.markDelivered();
        if (attempt.countDelivery() == DELIVERIES_OF_BEGUN_ANSWER) {
            begun = true;
            context.prompts().begun(sharedParts());
        }
        writeHead(answer);
        response.write(ready);
        if (response.writeQueueFull()) {
            pacer.pause();
            response.drainHandler(v -> pacer.resume());
        }
    }

    private void writeHead(HttpClientResponse answer) {
        if (response.headWritten()) {
            return;
        }
        response.setStatusCode(answer.statusCode());
        response.setChunked(true);
        HopByHopHeaders.copyEndToEnd(answer.headers(), response.headers());
    }

    /** Handles the end of an attempt's events. */
    void end(StreamAttempt attempt, boolean incomplete) {
        if (stale(attempt)) {
            return;
        }
        boolean torn = incomplete || !response.headWritten();
        if (attempts.end(attempt.id(), torn) == StreamAttempts.AfterEnd.TORN) {
            cutOff(attempt, "stream torn");
            return;
        }
        context.prompts().begun(sharedParts());
        finish("served", response.getStatusCode(), "");
        leaveComplete(attempt);
        response.end();
    }

    /**
     * Handles a lost connection. The engine may have lost only this answer, so it is avoided as the
     * first engine but not excluded.
     */
    void connectionFailed(StreamAttempt attempt) {
        if (stale(attempt)) {
            return;
        }
        avoidFirst(attempt.first());
        cutOff(attempt, "connection failed");
    }

    /**
     * Handles an attempt whose connection ended before its answer. A stream that has begun prefers
     * other engines then; it may still go on at the same one if the route allows no other.
     */
    void cutOff(StreamAttempt attempt, String cause) {
        if (stale(attempt)) {
            return;
        }
        recordLoss(attempt.first());
        if (response.headWritten()) {
            avoidFirst(attempt.first());
        }
        recover(attempt, cause);
    }

    /** Closes a failed attempt; retries or ends the request unless another attempt goes on. */
    void recover(StreamAttempt attempt, String cause) {
        if (stale(attempt)) {
            return;
        }
        Endpoint first = attempt.first();
        Optional<InstanceId> fault = attempt.refusingEngine();
        if (close(attempt)) {
            recordFailure(first, cause, fault, OTHER_GOES_ON);
        } else if (response.headWritten()) {
            continueBegun(first, cause, fault);
        } else if (acquireRetry(first, cause, fault)) {
            attempt();
        } else {
            giveUp(cause);
        }
    }

    private void continueBegun(Endpoint first, String cause, Optional<InstanceId> fault) {
        if (recordBegunFailure(first, cause, fault).isPresent()) {
            abort(cause);
        } else {
            attempt();
        }
    }

    /**
     * Tries another chain beside the attempt that holds the stream.
     *
     * @param lost whether nothing is to be expected of that attempt, which may else be only silent
     */
    void tryBeside(EngineChain other, String cause, Endpoint suspect, boolean lost) {
        Endpoint first = newest().orElseThrow().first();
        moved = true;
        joinAttempt(first, cause, Optional.of(suspect.id()), lost);
        resumption.markCounted();
        startOn(other);
    }

    /** Returns the attempt that was opened last and is still open. */
    Optional<StreamAttempt> newest() {
        return open.isEmpty() ? Optional.empty() : Optional.of(open.lastEntry().getValue());
    }

    /** Finds an open attempt whose chain has lost an engine. */
    Optional<StreamAttempt> findLost() {
        return open.values().stream().filter(a -> chainFinder.lost(a.chain())).findFirst();
    }

    /** Cancels an attempt while the other one goes on. */
    void drop(StreamAttempt attempt) {
        recordFailure(attempt.first(), "engine lost", attempt.refusingEngine(), OTHER_GOES_ON);
        close(attempt);
    }

    /** Returns whether an attempt is open beside the one that holds the stream. */
    boolean twoOpen() {
        return attempts.twoOpen();
    }

    /** Returns whether another attempt is open at the same first engine. */
    boolean sharesFirst(StreamAttempt attempt) {
        return open.values().stream()
                .anyMatch(a -> !a.equals(attempt) && a.first().id().equals(attempt.first().id()));
    }

    /** Returns whether an attempt is open at an engine as the first one of its chain. */
    boolean openAt(Endpoint engine) {
        return open.values().stream().anyMatch(a -> a.first().id().equals(engine.id()));
    }

    /** Returns the moves of this stream to other engines. */
    ChainMoves moves() {
        return moves;
    }

    String id() {
        return admitted.id();
    }

    String service() {
        return admitted.service();
    }

    /** Returns the time at which the request's timeout expires. */
    long timeoutNanos() {
        return admitted.arrivedNanos() + admitted.timeout().toNanos();
    }

    /** Returns when the caller of an answer that began would probably leave. */
    long callerLeavesNanos() {
        return CallerPatience.startBeforeNanos(
                admitted.route(), lastDeliveryNanos(), timeoutNanos());
    }

    /** Returns until when the first attempt may be started. */
    long firstStartBeforeNanos() {
        return CallerPatience.startBeforeNanos(
                admitted.route(),
                admitted.arrivedNanos(),
                admitted.arrivedNanos() + admitted.timeToAnswer().toNanos());
    }

    @Override
    void release() {
        List<StreamAttempt> cancelled = List.copyOf(open.values());
        open.clear();
        attempts.close();
        cancelled.forEach(StreamAttempt::cancel);
        stallDetector.remove(this);
        resumption.release();
        silenceWait.release();
        counting.ended(now());
        gate.ended(this);
    }

    @Override
    void expired() {
        if (response.headWritten()) {
            abort("timeout");
        } else {
            giveUp("timeout");
        }
    }
}
