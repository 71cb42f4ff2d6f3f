package hyssopturn.relay;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.chain.EngineChain;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * A request whose answer is a stream of events from a chain of engines.
 *
 * <p>Only whole events are passed on, each once and in order. When a chain fails, another one goes
 * on after the last event that the caller has, within the same answer.
 */
final class StreamCall extends Call {
    private final ChainFinder finder;
    private final StallWatch watch;
    private final StreamProgress progress;
    private final EventWait wait;
    private final Set<InstanceId> avoided = new HashSet<>();
    private Optional<EngineChain> chain = Optional.empty();
    private Optional<InstanceId> fault = Optional.empty();
    private EventFramer framer = new EventFramer();
    private int generation;

    StreamCall(
            RelayParts parts,
            HttpServerRequest request,
            Admitted admitted,
            EngineSpec spec,
            StallWatch watch) {
        super(parts, request, admitted);
        this.watch = watch;
        finder = new ChainFinder(parts, admitted.service(), spec, admitted.headers());
        progress = new StreamProgress(admitted.headers().resumeAfter());
        wait = new EventWait(parts.settings());
    }

    @Override
    void offer() {
        Optional<EngineChain> found =
                finder.withRoom(e -> mayOffer(e) && !avoided.contains(e.id()), excluded)
                        .or(() -> finder.any(this::mayOffer, excluded));
        if (found.isEmpty() || !finder.mayCross(found.get().crossings())) {
            giveUp(failure(found.isEmpty() ? "no chain" : "no chain within a zone"));
            return;
        }
        chain = found;
        parts.load().add(found.get(), finder.tokens());
        framer = new EventFramer();
        wait.offered(now());
        int attempt = ++generation;
        Endpoint first = found.get().first().engine();
        boolean earlier = mayHaveRun();
        Offer offer = new Offer(first, found, admitted.account(), left(), progress.last());
        open(offer)
                .onComplete(
                        r -> send(attempt, earlier, first, r), e -> unreachable(attempt, first, e));
    }

    private boolean stale(int attempt) {
        return ended() || attempt != generation;
    }

    private void unreachable(int attempt, Endpoint first, Throwable error) {
        if (stale(attempt)) {
            return;
        }
        unsent(first, error);
        offer();
    }

    /** The engine may have lost only this answer, so it is avoided and not ruled out. */
    private void unanswered(int attempt, Endpoint first) {
        avoided.add(first.id());
        recover(attempt, "connection failed");
    }

    private void send(int attempt, boolean earlier, Endpoint first, HttpClientRequest opened) {
        if (stale(attempt)) {
            opened.reset();
            return;
        }
        sending();
        watch.add(this);
        opened.send(admitted.body())
                .onComplete(r -> head(attempt, earlier, r), e -> unanswered(attempt, first));
    }

    private void head(int attempt, boolean earlier, HttpClientResponse answer) {
        if (stale(attempt)) {
            return;
        }
        EndpointReply reply = parts.dialect().reply(answer.statusCode(), answer.headers());
        if (reply.notRun()) {
            provedNotRun(earlier);
            InstanceId refusing =
                    reply.fault()
                            .flatMap(parts.knowledge().roster()::findByAddress)
                            .orElse(chain.orElseThrow().first().engine())
                            .id();
            fault = Optional.of(refusing);
            excluded.add(refusing);
            parts.load().recordRefusal(refusing, now());
            recover(attempt, "engine refused");
            return;
        }
        if (!reply.answers(admitted.headers().id())) {
            recover(attempt, "foreign answer");
            return;
        }
        if (reply.unprovedRefusal()) {
            recover(attempt, "unproved refusal");
            return;
        }
        if (!reply.success()) {
            status(attempt, reply, answer);
            return;
        }
        answer.handler(bytes -> events(attempt, answer, bytes));
        answer.endHandler(v -> end(attempt));
        answer.exceptionHandler(e -> recover(attempt, "stream cut off"));
    }

    /** Passes on a failure that the engine reports itself, unless another chain may do better. */
    private void status(int attempt, EndpointReply reply, HttpClientResponse answer) {
        if ((reply.failure() && admitted.route().retryPolicy().allowsRetry())
                || response.headWritten()) {
            recover(attempt, "engine failed");
            return;
        }
        BoundedBody.read(answer)
                .onComplete(
                        body -> passStatus(attempt, reply, answer, body),
                        e -> recover(attempt, "answer cut off"));
    }

    private void passStatus(
            int attempt, EndpointReply reply, HttpClientResponse answer, Buffer body) {
        if (stale(attempt)) {
            return;
        }
        finish("endpoint-status", reply.status(), "");
        upstreamDone();
        response.setStatusCode(reply.status());
        HopHeaders.copyOthers(answer.headers(), response.headers());
        response.end(body);
    }

    private void events(int attempt, HttpClientResponse answer, Buffer bytes) {
        if (stale(attempt)) {
            return;
        }
        Buffer ready = Buffer.buffer();
        for (EventFramer.Event event : framer.feed(bytes)) {
            switch (progress.next(event.id())) {
                case DELIVER -> ready.appendBuffer(event.bytes());
                case SKIP -> {
                    // the caller has it from an earlier chain
                }
                case GAP -> {
                    deliver(answer, ready);
                    recover(attempt, "event missing");
                    return;
                }
            }
        }
        deliver(answer, ready);
        if (framer.endless()) {
            recover(attempt, "event without end");
        }
    }

    private void deliver(HttpClientResponse answer, Buffer ready) {
        if (ready.length() == 0) {
            return;
        }
        part();
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
        HopHeaders.copyOthers(answer.headers(), response.headers());
    }

    private void end(int attempt) {
        if (stale(attempt)) {
            return;
        }
        if (framer.torn() || !response.headWritten()) {
            recover(attempt, "stream torn");
            return;
        }
        finish("served", response.getStatusCode(), "");
        upstreamDone();
        response.end();
    }

    private void recover(int attempt, String cause) {
        if (!stale(attempt)) {
            recover(cause);
        }
    }

    /** Leaves an engine that failed: in place if the others can go on, else at another chain. */
    void leave(Endpoint engine, EngineControl engines) {
        excluded.add(engine.id());
        fault = Optional.of(engine.id());
        Optional<EngineChain> around = around(engine);
        if (around.isEmpty() || !mayTake(around.get())) {
            recover("engine stalled");
            return;
        }
        int attempt = generation;
        reroute(around.get(), engines)
                .whenComplete((done, error) -> rerouted(attempt, error == null && done));
    }

    /**
     * Tells whether a detour may be taken. If it leads through another zone, what was read so far
     * passes the pipe between the zones, for all streams of the engine that failed at once; going
     * on at a chain of one zone is better then.
     */
    private boolean mayTake(EngineChain around) {
        int more = moreCrossings(around);
        return more <= 0 || (!mayGoOnInOneZone() && finder.mayCross(more));
    }

    private int moreCrossings(EngineChain other) {
        return other.crossings() - chain.orElseThrow().crossings();
    }

    private boolean mayGoOnInOneZone() {
        return mayOfferAnew()
                && finder.withRoom(this::mayOffer, excluded)
                        .filter(c -> c.crossings() == 0)
                        .isPresent();
    }

    private void rerouted(int attempt, boolean done) {
        if (stale(attempt)) {
            return;
        }
        tellRerouted("engine failed", done);
        if (!done) {
            recover("not rerouted");
        }
    }

    /**
     * Moves away from an engine that is about to leave but still works, if others can take its part
     * while the stream goes on. If they cannot, the stream stays where it is.
     */
    void avoidDeparting(Endpoint engine, EngineControl engines) {
        if (!excluded.add(engine.id())) {
            return;
        }
        Optional<EngineChain> around = around(engine);
        if (around.isEmpty() || moreCrossings(around.get()) > 0) {
            return;
        }
        int attempt = generation;
        EngineChain before = chain.orElseThrow();
        reroute(around.get(), engines)
                .whenComplete((done, error) -> movedAway(attempt, before, error != null || done));
    }

    private void movedAway(int attempt, EngineChain before, boolean taken) {
        if (stale(attempt)) {
            return;
        }
        tellRerouted("engine leaves", taken);
        if (!taken) {
            follow(before);
        }
    }

    private Optional<EngineChain> around(Endpoint engine) {
        return finder.around(chain.orElseThrow(), engine, excluded);
    }

    private void follow(EngineChain other) {
        parts.load().remove(chain.orElseThrow(), finder.tokens());
        parts.load().add(other, finder.tokens());
        chain = Optional.of(other);
    }

    private void tellRerouted(String cause, boolean done) {
        parts.trace()
                .record(
                        new TraceEvent.Rerouted(
                                id(), chain.map(Object::toString).orElse(""), cause, done));
    }

    private CompletableFuture<Boolean> reroute(EngineChain other, EngineControl engines) {
        follow(other);
        Endpoint first = other.first().engine();
        wait.asked(now());
        return engines.reroute(first.address(), first.id(), id(), ChainFinder.path(other));
    }

    /** Leaves the present chain and goes on at another one. */
    void recover(String cause) {
        if (ended() || chain.isEmpty()) {
            return;
        }
        Endpoint first = chain.get().first().engine();
        Optional<InstanceId> failed = fault;
        fault = Optional.empty();
        generation++;
        cancelUpstream();
        if (again(first, cause, failed)) {
            offer();
        } else if (response.headWritten()) {
            breakOff(cause);
        } else {
            giveUp(cause);
        }
    }

    /** Tells whether the first engine should be asked why no event comes. */
    boolean quiet(long nowNanos) {
        return chain.isPresent() && wait.quiet(nowNanos);
    }

    /** Tells whether an event is overdue so far that the engines should be looked after. */
    boolean late(long nowNanos) {
        return chain.isPresent() && wait.late(nowNanos);
    }

    /** Counts an engine that lets the request wait as full, and goes on elsewhere in time. */
    void endWait(long nowNanos) {
        if (chain.isEmpty() || !wait.firstOverdue(nowNanos)) {
            return;
        }
        Endpoint first = chain.get().first().engine();
        parts.load().recordRefusal(first.id(), nowNanos);
        if (wait.mustMove(nowNanos) && mayGoOnInOneZone()) {
            avoided.add(first.id());
            recover("first event overdue");
        }
    }

    /** Finds an engine of the chain that is under suspicion. */
    Optional<Endpoint> suspect() {
        return finder.suspect(chain.orElseThrow());
    }

    void asked(long nowNanos) {
        wait.asked(nowNanos);
    }

    Optional<EngineChain> chain() {
        return chain;
    }

    /** Finds an engine behind the first one that is about to leave. */
    Optional<Endpoint> departing() {
        return chain.filter(c -> wait.begun()).flatMap(c -> finder.departing(c, excluded));
    }

    boolean uses(InstanceId engine) {
        return chain.filter(c -> c.uses(engine)).isPresent();
    }

    String id() {
        return admitted.id();
    }

    @Override
    void release() {
        chain.ifPresent(c -> parts.load().remove(c, finder.tokens()));
        chain = Optional.empty();
        watch.remove(this);
    }

    @Override
    void expired() {
        if (response.headWritten()) {
            breakOff("timeout");
        } else {
            giveUp("timeout");
        }
    }
}
