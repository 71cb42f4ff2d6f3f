package hyssopturn.peer;

import com.google.protobuf.InvalidProtocolBufferException;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.model.RequestId;
import hyssopturn.peer.generated.AnswerChunk;
import hyssopturn.peer.generated.AnswerFetch;
import hyssopturn.peer.generated.AnswerMessage;
import hyssopturn.peer.generated.AnswerPart;
import hyssopturn.port.Clock;
import hyssopturn.port.PeerLink;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.BackPressureStrategy;
import io.smallrye.mutiny.subscription.MultiEmitter;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;

/**
 * Reads answers that other nodes keep, and gives them this node's.
 *
 * <p>The reader asks for events from a number on, again and again, so that the keeper holds no
 * state and a lost or doubled message loses or doubles no event.
 */
public final class RemoteAnswers {
    private static final Duration ANSWER_WAIT = AnswerServer.HOLD.plusMillis(1_000);
    private static final Duration PAUSE = Duration.ofMillis(200);
    private static final int MAX_TRIES = 4;
    private static final int EVENTS = 64;
    private static final int MAX_READERS = 4_096;

    private final PeerLink link;
    private final Clock clock;
    private final AnswerServer server;
    private final Map<Long, Reader> readers = new ConcurrentHashMap<>();
    private final AtomicLong calls = new AtomicLong();

    /**
     * Starts giving this node's answers.
     *
     * @param link links to other nodes
     * @param clock time
     * @param local reads this node's answers from a number of events on
     */
    public RemoteAnswers(
            PeerLink link,
            Clock clock,
            BiFunction<RequestId, Integer, Optional<Multi<AnswerEvent>>> local) {
        this.link = link;
        this.clock = clock;
        server = new AnswerServer(link, clock, local);
        link.setReceiver(PeerLink.Topic.ANSWER, this::received);
    }

    /**
     * Reads an answer of another node.
     *
     * @param keeper the node that keeps it
     * @param request name of the request
     * @param from number of events to skip
     * @return the rest of the answer; its end says so if the node does not answer or does not keep
     *     it
     */
    public Multi<AnswerEvent> read(InstanceId keeper, RequestId request, int from) {
        return Multi.createFrom()
                .emitter(
                        emitter -> new Reader(keeper, request, from, emitter).start(),
                        BackPressureStrategy.BUFFER);
    }

    private void received(InstanceId from, Bytes bytes) {
        try {
            AnswerMessage message = AnswerMessage.parseFrom(bytes.toArray());
            switch (message.getMessageCase()) {
                case FETCH -> server.serve(from, message.getFetch());
                case CHUNK -> {
                    AnswerChunk chunk = message.getChunk();
                    Optional.ofNullable(readers.remove(chunk.getCall()))
                            .ifPresent(r -> r.take(chunk));
                }
                case MESSAGE_NOT_SET -> {}
            }
        } catch (InvalidProtocolBufferException e) {
            // lost, as any message may be
        }
    }

    /** One caller who waits for an answer of another node. */
    private final class Reader {
        private final InstanceId keeper;
        private final RequestId request;
        private final MultiEmitter<? super AnswerEvent> emitter;
        private int next;
        private int tries;
        private long call;

        Reader(
                InstanceId keeper,
                RequestId request,
                int from,
                MultiEmitter<? super AnswerEvent> emitter) {
            this.keeper = keeper;
            this.request = request;
            this.emitter = emitter;
            next = from;
        }

        void start() {
            if (readers.size() >= MAX_READERS) {
                end("this node passes on too many answers already; try another node");
                return;
            }
            emitter.onTermination(this::forget);
            fetch();
        }

        private synchronized void forget() {
            readers.remove(call);
        }

        private void fetch() {
            long thisCall = calls.incrementAndGet();
            AnswerMessage message;
            synchronized (this) {
                if (emitter.isCancelled()) {
                    return;
                }
                call = thisCall;
                message =
                        AnswerMessage.newBuilder()
                                .setFetch(
                                        AnswerFetch.newBuilder()
                                                .setCall(thisCall)
                                                .setRequest(request.value())
                                                .setFrom(next)
                                                .setMaxEvents(EVENTS))
                                .build();
                readers.put(thisCall, this);
            }
            boolean sent =
                    link.send(keeper, PeerLink.Topic.ANSWER, Bytes.wrap(message.toByteArray()));
            clock.after(sent ? ANSWER_WAIT : PAUSE, () -> overdue(thisCall));
        }

        private void overdue(long late) {
            if (readers.remove(late) == null) {
                return;
            }
            tries++;
            if (tries >= MAX_TRIES) {
                end("node " + keeper + ", which keeps the answer, cannot be reached");
                return;
            }
            fetch();
        }

        private void take(AnswerChunk chunk) {
            tries = 0;
            if (!chunk.getKept()) {
                end("node " + keeper + " keeps no such answer");
                return;
            }
            for (AnswerPart part : chunk.getPartsList()) {
                AnswerEvent event = AnswerCodec.decode(part);
                next++;
                emitter.emit(event);
                if (event instanceof AnswerEvent.End) {
                    emitter.complete();
                    return;
                }
            }
            if (chunk.getComplete()) {
                end("node " + keeper + " keeps the answer without its end");
                return;
            }
            if (chunk.getPartsCount() == 0) {
                clock.after(PAUSE, this::fetch);
                return;
            }
            fetch();
        }

        private void end(String message) {
            emitter.emit(AnswerEvent.End.unknown(message));
            emitter.complete();
        }
    }
}
