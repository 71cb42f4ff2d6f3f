package hyssopturn.relay;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.chain.EngineChain;
import hyssopturn.chain.ZoneLink;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * A request whose answer is a stream of events from a chain of engines.
 *
 * <p>Only complete events are passed on, each once and in order. When a chain fails, another one
 * continues after the last event that the caller has, within the same answer.
 */
final class StreamCall extends Call {
    private final ChainFinder chainFinder;
    private final StallDetector stallDetector;
    private final StreamProgress progress;
    private final EventWait wait;
    private final Set<InstanceId> avoidedFirst = new HashSet<>();
    private Optional<EngineChain> chain = Optional.empty();
    private Optional<InstanceId> refusingEngine = Optional.empty();
    private EventFramer framer = new EventFramer();
    private int currentAttemptId;

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
        Optional<EngineChain> found = findChain(excluded);
        if (found.isEmpty() || !chainFinder.reserveZoneLinks(found.get().links())) {
            giveUp(lastFailureOr(found.isEmpty() ? "no chain" : "no chain within a zone"));
            return;
        }
        startOn(found.get());
    }

    private Optional<EngineChain> findChain(Set<InstanceId> unusable) {
        return chainFinder
                .findWithCapacity(e -> mayAttempt(e) && !avoidedFirst.contains(e.id()), unusable)
                .or(() -> chainFinder.findAny(this::mayAttempt, unusable));
    }

    private void startOn(EngineChain found) {
        chain = Optional.of(found);
        context.load().add(found, chainFinder.tokens());
        framer = new EventFramer();
        progress.attemptStarted();
        wait.attemptStarted(now());
        int attemptId = ++currentAttemptId;
        Endpoint first = found.first().engine();
        boolean earlierMayHaveRun = mayHaveRun();
        Attempt attempt =
                new Attempt(first, chain, admitted.account(), remaining(), progress.last());
        openRequest(attempt)
                .onComplete(
                        r -> send(attemptId, earlierMayHaveRun, first, r),
                        e -> unreachable(attemptId, first, e));
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
        if (reply.refuses(admitted.headers().id())) {
            markNotRun(earlierMayHaveRun);
            InstanceId refusing =
                    reply.failedEngine()
                            .flatMap(context.routingState().roster()::findByAddress)
                            .orElse(chain.orElseThrow().first().engine())
                            .id();
            refusingEngine = Optional.of(refusing);
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
        if (response.headWritten() && !sameContentType(answer)) {
            recover(attemptId, "other content type");
            return;
        }
        answer.handler(bytes -> handleBytes(attemptId, answer, bytes));
        answer.endHandler(v -> end(attemptId));
        answer.exceptionHandler(e -> recover(attemptId, "stream cut off"));
    }

    private boolean sameContentType(HttpClientResponse answer) {
        return mediaType(answer.headers()).equals(mediaType(response.headers()));
    }

    private static String mediaType(MultiMap headers) {
        String type = Optional.ofNullable(headers.get("Content-Type")).orElse("");
        return type.replaceFirst(";.*", "").strip().toLowerCase(Locale.ROOT);
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
            switch (progress.advance(event)) {
                case DELIVER -> ready.appendBuffer(event.bytes());
                case SKIP -> {
                    // the caller received the event from an earlier chain
                }
                case GAP -> {
                    deliver(answer, ready);
                    recover(attemptId, "event missing");
                    return;
                }
                case UNNUMBERED -> {
                    deliver(answer, ready);
                    recover(attemptId, "event without id");
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
        if (framer.incomplete() || !progress.upToDate() || !response.headWritten()) {
            recover(attemptId, "stream torn");
            return;
        }
        finish("served", response.getStatusCode(), "");
        clearUpstream();
        response.end();
    }

    /** Cancels a failed attempt and retries on another chain, or ends the request. */
    private void recover(int attemptId, String cause) {
        if (stale(attemptId)) {
            return;
        }
        Endpoint first = chain.orElseThrow().first().engine();
        Optional<InstanceId> fault = refusingEngine;
        refusingEngine = Optional.empty();
        currentAttemptId++;
        cancelUpstream();
        if (acquireRetry(first, cause, fault)) {
            attempt();
        } else if (response.headWritten()) {
            abort(cause);
        } else {
            giveUp(cause);
        }
    }

    /**
     * Replaces an engine that is suspected to have failed, by rerouting the running request if the
     * other engines can continue it, otherwise by a retry on another chain. If neither is possible,
     * the request goes on waiting: an engine that is only silent may continue.
     */
    void replaceSuspected(Endpoint engine, EngineControl engines) {
        guarded(
                () -> {
                    Optional<EngineChain> detour = findDetour(engine).filter(this::mayUseDetour);
                    if (detour.isPresent()) {
                        rerouteAround(engine, detour.get(), engines);
                    } else {
                        retryElsewhere("engine stalled", engine);
                    }
                });
    }

    /** Retries on another chain if one can be used, otherwise keeps the attempt in progress. */
    private void retryElsewhere(String cause, Endpoint suspect) {
        Optional<String> obstacle = retryObstacle();
        if (obstacle.isPresent()) {
            keepWaiting(cause, suspect, obstacle.get());
            return;
        }
        Optional<EngineChain> other = findReplacement(suspect);
        if (other.isEmpty()) {
            keepWaiting(cause, suspect, "no other chain");
            return;
        }
        if (!chainFinder.reserveZoneLinks(other.get().links())) {
            keepWaiting(cause, suspect, "no other chain within a zone");
            return;
        }
        moveTo(other.get(), cause, suspect);
    }

    private void keepWaiting(String cause, Endpoint suspect, String obstacle) {
        Endpoint first = chain.orElseThrow().first().engine();
        keepAttempt(first, cause, Optional.of(suspect.id()), obstacle);
        wait.markNotReplaced(now());
    }

    /** Finds another chain, with the room that this request would leave on the present one. */
    private Optional<EngineChain> findReplacement(Endpoint suspect) {
        EngineChain current = chain.orElseThrow();
        Set<InstanceId> unusable = new HashSet<>(excluded);
        unusable.add(suspect.id());
        context.load().remove(current, chainFinder.tokens());
        try {
            return findChain(unusable);
        } finally {
            context.load().add(current, chainFinder.tokens());
        }
    }

    private void moveTo(EngineChain other, String cause, Endpoint suspect) {
        Endpoint first = chain.orElseThrow().first().engine();
        currentAttemptId++;
        replaceAttempt(first, cause, Optional.of(suspect.id()));
        cancelUpstream();
        startOn(other);
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
        return mayRetryElsewhere() && findInOneZone(this::mayAttempt).isPresent();
    }

    private Optional<EngineChain> findInOneZone(Predicate<Endpoint> first) {
        return chainFinder.findWithCapacity(first, excluded).filter(c -> c.crossings() == 0);
    }

    private void rerouteAround(Endpoint engine, EngineChain detour, EngineControl engines) {
        int attemptId = currentAttemptId;
        long orderedNanos = now();
        EngineChain previous = chain.orElseThrow();
        reroute(detour, engines)
                .whenComplete(
                        (done, error) -> {
                            if (stale(attemptId)) {
                                return;
                            }
                            traceReroute("engine failed", error == null && done);
                            if ((error != null || !done) && chain.equals(Optional.of(detour))) {
                                handleNotRerouted(previous, engine, orderedNanos);
                            }
                        });
    }

    /**
     * Handles a reroute that was refused or not confirmed. The engine may still carry it out; until
     * then the previous chain is the one to watch, since the suspected engine is part of it.
     */
    private void handleNotRerouted(EngineChain previous, Endpoint engine, long orderedNanos) {
        switchTo(previous);
        if (!wait.deliveredAfter(orderedNanos)) {
            guarded(() -> retryElsewhere("not rerouted", engine));
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
        if (wait.switchDue(nowNanos) && mayRetryElsewhere() && retryObstacle().isEmpty()) {
            guarded(() -> leaveQueue(first));
        }
    }

    private void leaveQueue(Endpoint first) {
        findInOneZone(e -> mayAttempt(e) && !e.id().equals(first.id()))
                .ifPresent(
                        other -> {
                            avoidedFirst.add(first.id());
                            moveTo(other, "first event overdue", first);
                        });
    }

    /** Returns whether a replacement of a suspected engine may be searched for now. */
    boolean searchDue(long nowNanos) {
        return chain.isPresent() && wait.searchDue(nowNanos);
    }

    /** Returns whether the last search of this wait found no replacement. */
    boolean searchedInVain() {
        return wait.searchedInVain();
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
