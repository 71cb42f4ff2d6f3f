package hyssopturn.peer;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.model.RequestId;
import hyssopturn.peer.generated.AnswerChunk;
import hyssopturn.peer.generated.AnswerFetch;
import hyssopturn.peer.generated.AnswerMessage;
import hyssopturn.port.Clock;
import hyssopturn.port.PeerLink;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.Cancellable;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;

/** Gives parts of this node's answers to other nodes, waiting a little for what is to come. */
final class AnswerServer {
    /** How long a request for events waits for the first one. */
    static final Duration HOLD = Duration.ofSeconds(1);

    private static final int MAX_EVENTS = 256;
    private static final int MAX_BYTES = 1 << 20;
    private static final int EVENT_BYTES = 48;
    private static final int MAX_FETCHES = 4_096;

    private final PeerLink link;
    private final Clock clock;
    private final BiFunction<RequestId, Integer, Optional<Multi<AnswerEvent>>> local;
    private final AtomicInteger fetches = new AtomicInteger();

    AnswerServer(
            PeerLink link,
            Clock clock,
            BiFunction<RequestId, Integer, Optional<Multi<AnswerEvent>>> local) {
        this.link = link;
        this.clock = clock;
        this.local = local;
    }

    /** Answers a request for events, now or when the first one comes. */
    void serve(InstanceId to, AnswerFetch fetch) {
        if (fetch.getRequest().isBlank() || fetch.getFrom() < 0) {
            return;
        }
        Optional<Multi<AnswerEvent>> answer =
                local.apply(new RequestId(fetch.getRequest()), fetch.getFrom());
        if (answer.isEmpty()) {
            reply(to, chunk(fetch).setKept(false).build());
            return;
        }
        if (fetches.incrementAndGet() > MAX_FETCHES) {
            fetches.decrementAndGet();
            reply(to, chunk(fetch).setKept(true).build());
            return;
        }
        new Collector(to, fetch).start(answer.get());
    }

    private static AnswerChunk.Builder chunk(AnswerFetch fetch) {
        return AnswerChunk.newBuilder().setCall(fetch.getCall()).setFrom(fetch.getFrom());
    }

    private void reply(InstanceId to, AnswerChunk chunk) {
        AnswerMessage message = AnswerMessage.newBuilder().setChunk(chunk).build();
        link.send(to, PeerLink.Topic.ANSWER, Bytes.wrap(message.toByteArray()));
    }

    /** Collects events of one request until some are there or the wait is over. */
    private final class Collector {
        private final InstanceId to;
        private final AnswerFetch fetch;
        private final int max;
        private final List<AnswerEvent> events = new ArrayList<>();
        private boolean waiting;
        private boolean complete;
        private boolean closed;
        private int bytes;
        private Cancellable reading = () -> {};

        Collector(InstanceId to, AnswerFetch fetch) {
            this.to = to;
            this.fetch = fetch;
            max = Math.clamp(fetch.getMaxEvents(), 1, MAX_EVENTS);
        }

        void start(Multi<AnswerEvent> answer) {
            Clock.Timer timer = clock.after(HOLD, this::finish);
            Cancellable subscription =
                    answer.select()
                            .first(max)
                            .subscribe()
                            .with(this::event, error -> finish(), this::completed);
            synchronized (this) {
                reading = subscription;
                waiting = events.isEmpty() && !complete;
                if (waiting) {
                    return;
                }
            }
            timer.cancel();
            finish();
        }

        private void event(AnswerEvent event) {
            boolean first;
            synchronized (this) {
                if (closed || bytes > MAX_BYTES) {
                    return;
                }
                bytes += event instanceof AnswerEvent.Body(Bytes b) ? b.size() : EVENT_BYTES;
                events.add(bytes > MAX_BYTES ? tooLarge() : event);
                first = waiting;
            }
            if (first) {
                finish();
            }
        }

        private AnswerEvent tooLarge() {
            return AnswerEvent.End.unknown(
                    "the answer is too large to be passed on; ask the node that ran it");
        }

        private void completed() {
            boolean first;
            synchronized (this) {
                complete = events.size() < max;
                first = waiting;
            }
            if (first) {
                finish();
            }
        }

        private void finish() {
            AnswerChunk.Builder chunk = chunk(fetch).setKept(true);
            Cancellable subscription;
            synchronized (this) {
                if (closed) {
                    return;
                }
                closed = true;
                events.forEach(e -> chunk.addParts(AnswerCodec.encode(e)));
                chunk.setComplete(complete);
                subscription = reading;
            }
            fetches.decrementAndGet();
            subscription.cancel();
            reply(to, chunk.build());
        }
    }
}
