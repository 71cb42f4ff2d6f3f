package hyssopturn.relay;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.chain.ChainSearch;
import hyssopturn.chain.EngineChain;
import hyssopturn.chain.Hop;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineControl;
import hyssopturn.trace.TraceEvent;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * A request whose answer is a stream of events from a chain of engines.
 *
 * <p>Only whole events are passed on, each once and in order. When a chain fails, another one goes
 * on after the last event that the caller has, within the same answer.
 */
final class StreamCall extends Call {
    /** Time without a first event after which another chain is tried; callers leave after 2 s. */
    private static final Duration FIRST_EVENT_LIMIT = Duration.ofMillis(1_200);

    /** Usual times between events after which the engines of a stream are checked for life. */
    private static final double LATE_GAPS = 2;

    /** Usual times between events after which the first engine is asked why none comes. */
    private static final double QUIET_GAPS = 4;

    /** How often it is looked for another chain while the first event is overdue. */
    private static final Duration WAIT_CHECK_INTERVAL = Duration.ofMillis(200);

    private final EngineSpec spec;
    private final StallWatch watch;
    private final StreamProgress progress;
    private final StreamPace pace = new StreamPace();
    private final ChainSearch.Size size;
    private final Set<InstanceId> avoided = new HashSet<>();
    private Optional<EngineChain> chain = Optional.empty();
    private Optional<InstanceId> fault = Optional.empty();
    private EventFramer framer = new EventFramer();
    private int generation;
    private long progressNanos;
    private long askedNanos = Long.MIN_VALUE;
    private long nextWaitCheckNanos;

    StreamCall(
            RelayParts parts,
            HttpServerRequest request,
            Admitted admitted,
            EngineSpec spec,
            StallWatch watch) {
        super(parts, request, admitted);
        this.spec = spec;
        this.watch = watch;
        progress = new StreamProgress(admitted.headers().resumeAfter());
        size = size(admitted.headers(), spec);
    }

    /** Answers are rarely as long as they may be, so the guess or the usual length counts. */
    private static ChainSearch.Size size(CallHeaders headers, EngineSpec spec) {
        long expected =
                headers.expectedTokens().orElse(Math.round(Math.ceil(spec.usualAnswerTokens())));
        return new ChainSearch.Size(
                headers.promptTokens(), Math.min(headers.answerTokens(), expected));
    }

    @Override
    void offer() {
        Optional<EngineChain> found =
                chainFrom(e -> mayOffer(e) && !avoided.contains(e.id()), true)
                        .or(() -> chainFrom(this::mayOffer, false));
        if (found.isEmpty()) {
            giveUp(failure("no chain"));
            return;
        }
        if (!mayCross(found.get().crossings())) {
            giveUp(failure("no chain within a zone"));
            return;
        }
        chain = found;
        parts.load().add(found.get(), size.tokens());
        framer = new EventFramer();
        progressNanos = now();
        int attempt = ++generation;
        Endpoint first = found.get().first().engine();
        boolean earlier = mayHaveRun();
        Offer offer = new Offer(first, found, admitted.account(), left(), progress.last());
        open(offer)
                .onComplete(
                        r -> send(attempt, earlier, first, r), e -> unreachable(attempt, first, e));
    }

    private Optional<EngineChain> chainFrom(Predicate<Endpoint> first, boolean withRoom) {
        long now = now();
        List<Endpoint> usable = parts.knowledge().roster().usable(admitted.service(), now);
        if (withRoom) {
            usable = usable.stream().filter(e -> !parts.load().full(e.id(), now)).toList();
        }
        Optional<EngineChain> found =
                search(now).cheapest(usable, parts.settings().zone(), size, excluded, first);
        parts.meters()
                .timer("hyssopturn.chain.searches", "found", String.valueOf(found.isPresent()))
                .record(Duration.ofNanos(now() - now));
        return found;
    }

    private ChainSearch search(long now) {
        return new ChainSearch(spec, parts.load(), parts.random(), now);
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
                            .flatMap(parts.knowledge().roster()::at)
                            .orElse(chain.orElseThrow().first().engine())
                            .id();
            fault = Optional.of(refusing);
            excluded.add(refusing);
            parts.load().refused(refusing, now());
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
        if ((reply.failure() && admitted.route().repeat().allowed()) || response.headWritten()) {
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
        long now = now();
        if (response.headWritten()) {
            pace.gap(now - progressNanos);
        }
        progressNanos = now;
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
        int more = around.crossings() - chain.orElseThrow().crossings();
        return more <= 0 || (!mayGoOnInOneZone() && mayCross(more));
    }

    private boolean mayCross(int crossings) {
        return parts.pipes().take(crossings, size.promptTokens(), spec, now());
    }

    private boolean mayGoOnInOneZone() {
        return mayOfferAnew()
                && chainFrom(this::mayOffer, true).filter(c -> c.crossings() == 0).isPresent();
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
        if (around.isEmpty() || around.get().crossings() > chain.orElseThrow().crossings()) {
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
        List<Endpoint> usable = parts.knowledge().roster().usable(admitted.service(), now());
        return search(now()).around(chain.orElseThrow(), engine.id(), usable, size, excluded);
    }

    private void follow(EngineChain other) {
        parts.load().remove(chain.orElseThrow(), size.tokens());
        parts.load().add(other, size.tokens());
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
        List<EngineControl.Hop> hops =
                other.hops().stream()
                        .map(h -> new EngineControl.Hop(h.engine().address(), h.range()))
                        .toList();
        asked(now());
        return engines.reroute(first.address(), first.id(), id(), hops);
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
        Duration least =
                progress.delivered()
                        ? parts.settings().gapStall()
                        : parts.settings().firstEventStall();
        long since = Math.max(progressNanos, askedNanos);
        return chain.isPresent() && pace.overdue(nowNanos - since, least, QUIET_GAPS);
    }

    /**
     * Counts an engine at which a first event is overdue as full, and goes on elsewhere before the
     * caller gives up. An engine whose memory is full refuses only behind the first place of a
     * chain; at the first place it lets requests wait.
     */
    void endWait(long nowNanos) {
        long waited = nowNanos - progressNanos;
        if (progress.delivered() || waited < parts.settings().firstEventStall().toNanos()) {
            return;
        }
        Endpoint first = chain.orElseThrow().first().engine();
        parts.load().refused(first.id(), nowNanos);
        if (waited < FIRST_EVENT_LIMIT.toNanos() || nowNanos < nextWaitCheckNanos) {
            return;
        }
        nextWaitCheckNanos = nowNanos + WAIT_CHECK_INTERVAL.toNanos();
        if (mayGoOnInOneZone()) {
            avoided.add(first.id());
            recover("first event overdue");
        }
    }

    /** Tells whether an event is overdue so far that the engines should be looked after. */
    boolean late(long nowNanos) {
        Duration least =
                progress.delivered()
                        ? parts.settings().gapCheck()
                        : parts.settings().firstEventCheck();
        return chain.isPresent() && pace.overdue(nowNanos - progressNanos, least, LATE_GAPS);
    }

    /** Finds an engine of the chain that is under suspicion. */
    Optional<Endpoint> suspect(long nowNanos) {
        return chain.orElseThrow().hops().stream()
                .map(Hop::engine)
                .filter(e -> parts.knowledge().roster().suspected(e, nowNanos))
                .findFirst();
    }

    void asked(long nowNanos) {
        askedNanos = nowNanos;
    }

    Optional<EngineChain> chain() {
        return chain;
    }

    /** Finds an engine behind the first one that is about to leave. */
    Optional<Endpoint> departing(long nowNanos) {
        if (chain.isEmpty() || !progress.delivered()) {
            return Optional.empty();
        }
        return chain.get().hops().stream()
                .skip(1)
                .map(Hop::engine)
                .filter(e -> !excluded.contains(e.id()))
                .filter(e -> parts.knowledge().roster().departing(e, nowNanos))
                .findFirst();
    }

    boolean uses(InstanceId engine) {
        return chain.filter(c -> c.uses(engine)).isPresent();
    }

    String id() {
        return admitted.id();
    }

    @Override
    void release() {
        chain.ifPresent(c -> parts.load().remove(c, size.tokens()));
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
