package hyssopturn.relay;

import hyssopturn.chain.EngineChain;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.InstanceId;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One attempt of a stream at a chain of engines: its request, and the events that come back.
 *
 * <p>It reports to its {@link StreamCall}, which decides what becomes of the stream.
 */
final class StreamAttempt {
    private final RelayContext context;
    private final StreamCall call;
    private final int id;
    private final long tokens;
    private final long begunNanos;
    private final EventWait wait;
    private final EventFramer framer = new EventFramer();
    private EngineChain chain;
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<AnswerMemory.Holding> unfinishedEvent = Optional.empty();
    private Optional<InstanceId> refusingEngine = Optional.empty();
    private int deliveries;
    private boolean released;

    /**
     * Creates an attempt and counts it as load of its engines.
     *
     * @param id number of the attempt within the stream
     * @param tokens number of tokens that it may hold at an engine
     * @param pace time between the events of the stream
     */
    StreamAttempt(
            RelayContext context,
            StreamCall call,
            int id,
            EngineChain chain,
            long tokens,
            StreamPace pace) {
        this.context = context;
        this.call = call;
        this.id = id;
        this.chain = chain;
        this.tokens = tokens;
        begunNanos = context.clock().nanos();
        wait = new EventWait(context.settings(), pace);
        wait.attemptStarted(begunNanos);
        context.load().add(chain, tokens);
    }

    /** Opens a connection and sends the request. */
    void start(OptionalLong resumeAfter) {
        Attempt attempt =
                new Attempt(
                        first(),
                        Optional.of(chain),
                        call.admitted.account(),
                        call.admitted.sentPriority(),
                        call.remaining(),
                        resumeAfter);
        call.openRequest(attempt).onComplete(this::send, e -> call.unreachable(this, e));
    }

    int id() {
        return id;
    }

    EngineChain chain() {
        return chain;
    }

    /** Returns the first engine of the chain, which receives the request. */
    Endpoint first() {
        return chain.first().engine();
    }

    EventWait eventWait() {
        return wait;
    }

    /** Returns the engine that refused the request, if one did. */
    Optional<InstanceId> refusingEngine() {
        return refusingEngine;
    }

    /** Records that the running request continues on another chain. */
    void switchTo(EngineChain other) {
        if (released) {
            return;
        }
        context.load().remove(chain, tokens);
        context.load().add(other, tokens);
        chain = other;
    }

    /** Records that events were passed on; returns how often that was so far. */
    int countDelivery() {
        wait.delivered(context.clock().nanos());
        return ++deliveries;
    }

    /** Cancels the request by resetting it, unless its answer is complete. */
    void cancel() {
        release();
        request.ifPresent(HttpClientRequest::reset);
        request = Optional.empty();
    }

    /** Releases what the attempt holds, once. */
    void release() {
        if (released) {
            return;
        }
        released = true;
        context.load().remove(chain, tokens);
        unfinishedEvent.ifPresent(AnswerMemory.Holding::release);
    }

    private boolean stale() {
        return call.stale(this);
    }

    private void send(HttpClientRequest opened) {
        if (stale()) {
            opened.reset();
            return;
        }
        request = Optional.of(opened);
        if (!call.maySend(this)) {
            return;
        }
        call.admitted
                .body()
                .send(opened)
                .onComplete(this::handleHead, e -> call.connectionFailed(this));
    }

    private void handleHead(HttpClientResponse answer) {
        if (stale()) {
            return;
        }
        EndpointReply reply =
                context.headerCodec().decodeReply(answer.statusCode(), answer.headers());
        context.notices().record(first(), reply, begunNanos);
        if (reply.refuses(call.admitted.headers().id())) {
            handleRefusal(reply);
            return;
        }
        if (!reply.matches(call.admitted.headers().id())) {
            call.recover(this, "foreign answer");
            return;
        }
        if (reply.unprovedRefusal()) {
            call.recover(this, "unproved refusal");
            return;
        }
        if (!reply.success()) {
            call.handleStatus(this, reply, answer);
            return;
        }
        if (!call.continues(answer)) {
            call.recover(this, "other content type");
            return;
        }
        readEvents(answer);
    }

    private void readEvents(HttpClientResponse answer) {
        unfinishedEvent =
                Optional.of(
                        context.answerMemory()
                                .hold(() -> call.recover(this, "memory for answers used up")));
        ReadPacer pacer = new ReadPacer(context.clock(), answer);
        answer.handler(bytes -> handleBytes(answer, pacer, bytes));
        boolean endUnproved = call.endUnproved(answer);
        answer.endHandler(v -> call.end(this, endUnproved || framer.incomplete()));
        answer.exceptionHandler(e -> call.cutOff(this, "stream cut off"));
    }

    private void handleRefusal(EndpointReply reply) {
        InstanceId refusing =
                reply.failedEngine()
                        .flatMap(context.routingState().roster()::findByAddress)
                        .orElse(first())
                        .id();
        refusingEngine = Optional.of(refusing);
        call.refused(this, refusing);
    }

    private void handleBytes(HttpClientResponse answer, ReadPacer pacer, Buffer bytes) {
        if (stale()) {
            return;
        }
        Buffer ready = Buffer.buffer();
        List<EventFramer.Event> events = framer.feed(bytes);
        pacer.read(1 + events.size(), bytes.length());
        for (EventFramer.Event event : events) {
            switch (call.decide(this, event)) {
                case StreamAttempts.Reaction.Deliver deliver -> ready.appendBuffer(event.bytes());
                case StreamAttempts.Reaction.Fail failure -> {
                    call.deliver(this, answer, pacer, ready);
                    call.recover(this, failure.cause());
                    return;
                }
                case StreamAttempts.Reaction.Skip skip -> {
                    // the caller received the event from an earlier attempt, or does not need it
                }
                case StreamAttempts.Reaction.Ignore ignore -> {
                    return;
                }
            }
        }
        call.deliver(this, answer, pacer, ready);
        if (framer.tooLong()) {
            call.recover(this, "event without end");
            return;
        }
        int used = framer.usedBytes();
        unfinishedEvent.ifPresent(holding -> holding.resize(used));
    }
}
