package hyssopturn.run;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Reason;
import hyssopturn.model.RequestId;
import hyssopturn.port.Clock;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.BackPressureStrategy;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.MultiEmitter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Keeps answers for a limited time, so that a caller that lost its connection can fetch the rest.
 *
 * <p>A generation that has no reader for longer than the grace period is cancelled.
 */
public final class AnswerStore {
    private static final int BYTES_PER_EVENT = 64;

    private final Cache<RequestId, Entry> entries;
    private final Clock clock;
    private final Duration grace;

    /**
     * Creates an empty store.
     *
     * @param clock clock for expiry and the grace period
     * @param keep how long an answer is kept after it was last read or written
     * @param maxBytes greatest size of all answers kept, in bytes
     * @param grace how long a generation continues while its answer has no reader
     */
    public AnswerStore(Clock clock, Duration keep, long maxBytes, Duration grace) {
        this.clock = clock;
        this.grace = grace;
        entries =
                Caffeine.newBuilder()
                        .ticker(clock::nanos)
                        .expireAfterAccess(keep)
                        .maximumWeight(maxBytes)
                        .weigher((RequestId id, Entry entry) -> entry.bytes())
                        .build();
    }

    /**
     * Starts a run and keeps its answer.
     *
     * @param request id of the request
     * @param run the run
     * @param cancellable true if the run is cancelled when it has no reader for the grace period
     */
    public void start(RequestId request, Multi<AnswerEvent> run, boolean cancellable) {
        Entry entry = new Entry(cancellable);
        entries.put(request, entry);
        Cancellable subscription =
                run.subscribe()
                        .with(
                                event -> {
                                    entry.add(event);
                                    if (event instanceof AnswerEvent.End) {
                                        entries.put(request, entry);
                                    }
                                },
                                entry::fail,
                                entry::complete);
        entry.setSubscription(subscription);
    }

    /**
     * Returns an answer from a given event on, including events that are still to come.
     *
     * @param request id of the request
     * @param from number of events to skip
     * @return the rest of the answer, empty if the answer is not kept on this node
     */
    public Optional<Multi<AnswerEvent>> read(RequestId request, int from) {
        return Optional.ofNullable(entries.getIfPresent(request))
                .map(
                        entry ->
                                Multi.createFrom()
                                        .emitter(
                                                e -> entry.attach(from, e),
                                                BackPressureStrategy.BUFFER));
    }

    /**
     * An answer and its readers; each reader has its own position, so that no emitter is called
     * under the lock.
     */
    private final class Entry {
        private final boolean cancellable;
        private final List<AnswerEvent> events = new ArrayList<>();
        private final List<Reader> readers = new ArrayList<>();
        private Cancellable subscription = () -> {};
        private Clock.Timer graceTimer = () -> {};
        private boolean complete;
        private int bytes = BYTES_PER_EVENT;

        Entry(boolean cancellable) {
            this.cancellable = cancellable;
        }

        synchronized int bytes() {
            return bytes;
        }

        void setSubscription(Cancellable value) {
            synchronized (this) {
                subscription = value;
            }
            startGracePeriod();
        }

        void add(AnswerEvent event) {
            List<Reader> notified;
            synchronized (this) {
                if (complete) {
                    return;
                }
                events.add(event);
                bytes +=
                        event instanceof AnswerEvent.Body(var body) ? body.size() : BYTES_PER_EVENT;
                notified = List.copyOf(readers);
            }
            notified.forEach(Reader::drain);
        }

        void fail(Throwable error) {
            add(AnswerEvent.End.failed(Reason.INTERNAL, String.valueOf(error)));
            complete();
        }

        void complete() {
            List<Reader> notified;
            synchronized (this) {
                complete = true;
                graceTimer.cancel();
                notified = List.copyOf(readers);
            }
            notified.forEach(Reader::drain);
        }

        void attach(int from, MultiEmitter<? super AnswerEvent> emitter) {
            Reader reader = new Reader(this, Math.max(0, from), emitter);
            synchronized (this) {
                readers.add(reader);
                graceTimer.cancel();
            }
            emitter.onTermination(() -> detach(reader));
            reader.drain();
        }

        private void detach(Reader reader) {
            synchronized (this) {
                readers.remove(reader);
            }
            startGracePeriod();
        }

        /** Starts the grace period if the run has no reader; the run is cancelled at its end. */
        private synchronized void startGracePeriod() {
            if (cancellable && !complete && readers.isEmpty()) {
                graceTimer.cancel();
                graceTimer = clock.after(grace, this::abandon);
            }
        }

        private void abandon() {
            Cancellable run;
            synchronized (this) {
                if (complete || !readers.isEmpty()) {
                    return;
                }
                run = subscription;
            }
            run.cancel();
            add(AnswerEvent.End.failed(Reason.CANCELLED, "nobody read the answer"));
            complete();
        }

        synchronized Optional<AnswerEvent> event(int index) {
            return index < events.size() ? Optional.of(events.get(index)) : Optional.empty();
        }

        synchronized boolean isEnd(int index) {
            return complete && index >= events.size();
        }
    }

    private static final class Reader {
        private final Entry entry;
        private final MultiEmitter<? super AnswerEvent> emitter;
        private final AtomicInteger pendingCalls = new AtomicInteger();
        private int next;

        Reader(Entry entry, int next, MultiEmitter<? super AnswerEvent> emitter) {
            this.entry = entry;
            this.next = next;
            this.emitter = emitter;
        }

        /** Emits new events; a call that arrives during another one is handled by that one. */
        void drain() {
            if (pendingCalls.getAndIncrement() > 0) {
                return;
            }
            int handled = 1;
            do {
                emitNew();
                handled = pendingCalls.addAndGet(-handled);
            } while (handled > 0);
        }

        private void emitNew() {
            Optional<AnswerEvent> event = entry.event(next);
            while (event.isPresent()) {
                next++;
                emitter.emit(event.get());
                event = entry.event(next);
            }
            if (entry.isEnd(next)) {
                emitter.complete();
            }
        }
    }
}
