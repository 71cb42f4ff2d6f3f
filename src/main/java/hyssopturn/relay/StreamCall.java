package hyssopturn.relay;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.chain.EngineChain;
import hyssopturn.chain.ZoneLink;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A request whose answer is a stream of events from a chain of engines.
 *
 * <p>Only complete events are passed on, each once and in order. When a chain fails, another one
 * continues after the last event that the caller has, within the same answer.
 */
final class StreamCall extends Call {
    /**
     * Number of deliveries after which an answer has begun; an engine that crashes as it begins to
     * write may still have sent the first event.
     */
    private static final int DELIVERIES_OF_BEGUN = 2;

    /** Number of attempts that may be lost with their engines before the answer has begun. */
    private static final int MAX_LOST_BEGINNINGS = 2;

    private final ChainFinder chainFinder;
    private final StallDetector stallDetector;
    private final StreamProgress progress;
    private final EventWait wait;
    private final Set<InstanceId> avoidedFirst = new HashSet<>();
    private Optional<EngineChain> chain = Optional.empty();
    private Optional<InstanceId> failedEngine = Optional.empty();
    private EventFramer framer = new EventFramer();
    private int currentAttemptId;
    private int deliveries;
    private int lostBeginnings;
    private int lostAttemptId;

    StreamCall(
            RelayContext context,
            HttpServerRequest request,
            Admitted admitted,
            EngineSpec spec,
            StallDetector stallDetector) {
        super(context, request, admitted, stallDetector.checks());
        this.stallDetector = stallDetector;
        chainFinder = new ChainFinder(context, admitted.service(), spec, admitted.headers());
        progress = new StreamProgress(admitted.headers().resumeAfter());
        wait = new EventWait(context.settings());
    }

    @Override
    void startAttempt() {
        Optional<Duration> quarantine = context.prompts().check(sharedParts());
        if (quarantine.isPresent()) {
            giveUp("part of the prompt in quarantine", quarantine.get());
            return;
        }
        Optional<EngineChain> found =
                chainFinder
                        .findWithCapacity(
                                e -> mayAttempt(e) && !avoidedFirst.contains(e.id()), excluded)
                        .or(() -> chainFinder.findAny(this::mayAttempt, excluded));
        if (found.isEmpty() || !chainFinder.reserveZoneLinks(found.get().links())) {
            giveUp(lastFailureOr(found.isEmpty() ? "no chain" : "no chain within a zone"));
            return;
        }
        chain = found;
        context.load().add(found.get(), chainFinder.tokens());
        framer = new EventFramer();
        deliveries = 0;
        wait.attemptStarted(now());
        int attemptId = ++currentAttemptId;
        Endpoint first = found.get().first().engine();
        boolean earlierMayHaveRun = mayHaveRun();
        Attempt attempt =
                new Attempt(first, found, admitted.account(), remaining(), progress.last());
        openRequest(attempt)
                .onComplete(
                        r -> send(attemptId, earlierMayHaveRun, first, r),
                        e -> unreachable(attemptId, first, e));
    }

    private List<String> sharedParts() {
        return admitted.headers().sharedParts();
    }

    /** Records that the attempt ended with its connection, perhaps since its engine crashed. */
    private void recordLoss(Endpoint engine) {
        if (deliveries < DELIVERIES_OF_BEGUN) {
            lostBeginnings += lostAttemptId == currentAttemptId ? 0 : 1;
            lostAttemptId = currentAttemptId;
            stallDetector.crashes().lost(engine, sharedParts());
        }
    }

    @Override
    String repeatRefusal() {
        if (deliveries >= DELIVERIES_OF_BEGUN || lostBeginnings == 0) {
            return "";
        }
        if (lostBeginnings >= MAX_LOST_BEGINNINGS) {
            return "lost at several engines";
        }
        return context.prompts().implicated(sharedParts()) ? "part of the prompt suspected" : "";
    }

    private boolean stale(int attemptId) {
        return ended() || attemptId != currentAttemptId;
    }

    private void unreachable(int attemptId, Endpoint first, Throwable error) {
        if (stale(attemptId)) {
            return;
        }
        connectFailed(first, error);
        attempt();
    }

    /**
     * Handles a lost connection. The engine may have lost only this answer, so it is avoided as the
     * first engine but not excluded.
     */
    private void noAnswer(int attemptId, Endpoint first) {
        avoidedFirst.add(first.id());
        if (!stale(attemptId)) {
            recordLoss(first);
        }
        recover(attemptId, "connection failed");
    }

    private void send(
            int attemptId, boolean earlierMayHaveRun, Endpoint first, HttpClientRequest opened) {
        if (stale(attemptId)) {
            opened.reset();
            return;
        }
        markSending();
        stallDetector.add(this);
        opened.send(admitted.body())
                .onComplete(
                        r -> handleHead(attemptId, earlierMayHaveRun, r),
                        e -> noAnswer(attemptId, first));
    }

    private void handleHead(int attemptId, boolean earlierMayHaveRun, HttpClientResponse answer) {
        if (stale(attemptId)) {
            return;
        }
        EndpointReply reply =
                context.headerCodec().decodeReply(answer.statusCode(), answer.headers());
        if (reply.notRun()) {
            markNotRun(earlierMayHaveRun);
            InstanceId refusing =
                    reply.failedEngine()
                            .flatMap(context.routingState().roster()::findByAddress)
                            .orElse(chain.orElseThrow().first().engine())
                            .id();
            failedEngine = Optional.of(refusing);
            excluded.add(refusing);
            context.load().recordRefusal(refusing, now());
            recover(attemptId, "engine refused");
            return;
        }
        if (!reply.matches(admitted.headers().id())) {
            recover(attemptId, "foreign answer");
            return;
        }
        if (reply.unprovedRefusal()) {
            recover(attemptId, "unproved refusal");
            return;
        }
        if (!reply.success()) {
            handleStatus(attemptId, reply, answer);
            return;
        }
        answer.handler(bytes -> handleBytes(attemptId, answer, bytes));
        answer.endHandler(v -> end(attemptId));
        answer.exceptionHandler(e -> cutOff(attemptId, "stream cut off"));
    }

    /** Passes on an error that the engine reports, unless the request can be retried. */
    private void handleStatus(int attemptId, EndpointReply reply, HttpClientResponse answer) {
        if ((reply.failure() && admitted.route().retryPolicy().allowsRetry())
                || response.headWritten()) {
            recover(attemptId, "engine failed");
            return;
        }
        BoundedBody.read(answer)
                .onComplete(
                        body -> passStatus(attemptId, reply, answer, body),
                        e -> recover(attemptId, "answer cut off"));
    }

    private void passStatus(
            int attemptId, EndpointReply reply, HttpClientResponse answer, Buffer body) {
        if (stale(attemptId)) {
            return;
        }
        finish("endpoint-status", reply.status(), "");
        clearUpstream();
        response.setStatusCode(reply.status());
        HopByHopHeaders.copyEndToEnd(answer.headers(), response.headers());
        response.end(body);
    }

    private void handleBytes(int attemptId, HttpClientResponse answer, Buffer bytes) {
        if (stale(attemptId)) {
            return;
        }
        Buffer ready = Buffer.buffer();
        for (EventFramer.Event event : framer.feed(bytes)) {
            switch (progress.advance(event.id())) {
                case DELIVER -> ready.appendBuffer(event.bytes());
                case SKIP -> {
                    // the caller received the event from an earlier chain
                }
                case GAP -> {
                    deliver(answer, ready);
                    recover(attemptId, "event missing");
                    return;
                }
            }
        }
        deliver(answer, ready);
        if (framer.tooLong()) {
            recover(attemptId, "event without end");
        }
    }

    private void deliver(HttpClientResponse answer, Buffer ready) {
        if (ready.length() == 0) {
            return;
        }
        recordDelivery();
        deliveries++;
        if (deliveries == DELIVERIES_OF_BEGUN) {
            context.prompts().begun(sharedParts());
        }
        wait.delivered(now());
        writeHead(answer);
        response.write(ready);
        if (response.writeQueueFull()) {
            answer.pause();
            response.drainHandler(v -> answer.resume());
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

    private void end(int attemptId) {
        if (stale(attemptId)) {
            return;
        }
        if (framer.incomplete() || !response.headWritten()) {
            cutOff(attemptId, "stream torn");
            return;
        }
        context.prompts().begun(sharedParts());
        finish("served", response.getStatusCode(), "");
        clearUpstream();
        response.end();
    }

    private void cutOff(int attemptId, String cause) {
        if (!stale(attemptId) && chain.isPresent()) {
            recordLoss(chain.get().first().engine());
        }
        recover(attemptId, cause);
    }

    private void recover(int attemptId, String cause) {
        if (!stale(attemptId)) {
            recover(cause);
        }
    }

    /**
     * Replaces a failed engine, by rerouting the running request if the other engines can continue
     * it, otherwise by a retry on another chain.
     */
    void replaceFailed(Endpoint engine, EngineControl engines) {
        excluded.add(engine.id());
        failedEngine = Optional.of(engine.id());
        recordLoss(engine);
        if (!repeatRefusal().isEmpty()) {
            recover("engine stalled");
            return;
        }
        Optional<EngineChain> detour = findDetour(engine);
        if (detour.isEmpty() || !mayUseDetour(detour.get())) {
            recover("engine stalled");
            return;
        }
        int attemptId = currentAttemptId;
        reroute(detour.get(), engines)
                .whenComplete((done, error) -> handleReroute(attemptId, error == null && done));
    }

    /**
     * Returns whether a detour may be used. If the detour crosses to another zone, the activations
     * of all tokens so far pass the link between the zones, for all streams of the failed engine at
     * once; a chain within one zone is better then.
     */
    private boolean mayUseDetour(EngineChain detour) {
        List<ZoneLink> extra = extraLinks(detour);
        return extra.isEmpty() || (!canContinueInOneZone() && chainFinder.reserveZoneLinks(extra));
    }

    private List<ZoneLink> extraLinks(EngineChain other) {
        List<ZoneLink> extra = new ArrayList<>(other.links());
        chain.orElseThrow().links().forEach(extra::remove);
        return extra;
    }

    private boolean canContinueInOneZone() {
        return mayRetryElsewhere()
                && chainFinder
                        .findWithCapacity(this::mayAttempt, excluded)
                        .filter(c -> c.crossings() == 0)
                        .isPresent();
    }

    private void handleReroute(int attemptId, boolean done) {
        if (stale(attemptId)) {
            return;
        }
        traceReroute("engine failed", done);
        if (!done) {
            recover("not rerouted");
        }
    }

    /**
     * Replaces an engine that is about to shut down but still works, if other engines can take over
     * its layers while the stream continues. Otherwise the chain stays as it is.
     */
    void replaceDeparting(Endpoint engine, EngineControl engines) {
        if (!excluded.add(engine.id())) {
            return;
        }
        Optional<EngineChain> detour = findDetour(engine);
        if (detour.isEmpty() || !extraLinks(detour.get()).isEmpty()) {
            return;
        }
        int attemptId = currentAttemptId;
        EngineChain previous = chain.orElseThrow();
        reroute(detour.get(), engines)
                .whenComplete(
                        (done, error) ->
                                handleDepartureReroute(attemptId, previous, error != null || done));
    }

    private void handleDepartureReroute(int attemptId, EngineChain previous, boolean accepted) {
        if (stale(attemptId)) {
            return;
        }
        traceReroute("engine leaves", accepted);
        if (!accepted) {
            switchTo(previous);
        }
    }

    private Optional<EngineChain> findDetour(Endpoint engine) {
        return chainFinder.findDetour(chain.orElseThrow(), engine, excluded);
    }

    private void switchTo(EngineChain other) {
        context.load().remove(chain.orElseThrow(), chainFinder.tokens());
        context.load().add(other, chainFinder.tokens());
        chain = Optional.of(other);
    }

    private void traceReroute(String cause, boolean done) {
        context.trace()
                .record(
                        new TraceEvent.Rerouted(
                                id(), chain.map(Object::toString).orElse(""), cause, done));
    }

    private CompletableFuture<Boolean> reroute(EngineChain other, EngineControl engines) {
        switchTo(other);
        Endpoint first = other.first().engine();
        wait.markQueried(now());
        return engines.reroute(first.address(), first.id(), id(), ChainFinder.path(other));
    }

    /** Cancels the attempt on the current chain and retries on another one, or ends the request. */
    void recover(String cause) {
        if (ended() || chain.isEmpty()) {
            return;
        }
        Endpoint first = chain.get().first().engine();
        Optional<InstanceId> lastFailedEngine = failedEngine;
        failedEngine = Optional.empty();
        currentAttemptId++;
        cancelUpstream();
        if (acquireRetry(first, cause, lastFailedEngine)) {
            attempt();
        } else if (response.headWritten()) {
            abort(cause);
        } else {
            giveUp(cause);
        }
    }

    /** Returns whether the first engine should be queried about the stall. */
    boolean queryDue(long nowNanos) {
        return chain.isPresent() && wait.queryDue(nowNanos);
    }

    /**
     * Returns whether the next event is so late that the liveness of the engines is to be checked.
     */
    boolean checkDue(long nowNanos) {
        return chain.isPresent() && wait.checkDue(nowNanos);
    }

    /**
     * Handles an overdue first event: counts the first engine as full, and retries on another chain
     * before the caller gives up.
     */
    void handleOverdueFirstEvent(long nowNanos) {
        if (chain.isEmpty() || !wait.firstOverdue(nowNanos)) {
            return;
        }
        Endpoint first = chain.get().first().engine();
        context.load().recordRefusal(first.id(), nowNanos);
        if (wait.switchDue(nowNanos) && canContinueInOneZone()) {
            avoidedFirst.add(first.id());
            recover("first event overdue");
        }
    }

    /** Finds an engine of the chain that is suspected to have failed. */
    Optional<Endpoint> findSuspect() {
        return chainFinder.findSuspect(chain.orElseThrow());
    }

    void markQueried(long nowNanos) {
        wait.markQueried(nowNanos);
    }

    Optional<EngineChain> chain() {
        return chain;
    }

    /** Finds an engine behind the first one that is about to shut down. */
    Optional<Endpoint> findDeparting() {
        return chain.filter(c -> wait.begun()).flatMap(c -> chainFinder.findDeparting(c, excluded));
    }

    boolean uses(InstanceId engine) {
        return chain.filter(c -> c.uses(engine)).isPresent();
    }

    String id() {
        return admitted.id();
    }

    @Override
    void release() {
        chain.ifPresent(c -> context.load().remove(c, chainFinder.tokens()));
        chain = Optional.empty();
        stallDetector.remove(this);
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
