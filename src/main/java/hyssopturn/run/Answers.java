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
 * Keeps answers for a while, so that a caller that lost its connection fetches the rest.
 *
 * <p>A generation that nobody reads for longer than the grace is cancelled.
 */
public final class Answers {
    private static final int BYTES_PER_EVENT = 64;

    private final Cache<RequestId, Entry> entries;
    private final Clock clock;
    private final Duration grace;

    /**
     * Creates an empty store.
     *
     * @param clock time
     * @param keep how long an answer is kept after it was last read or written
     * @param maxBytes greatest size of all answers kept, in bytes
     * @param grace how long a generation goes on while nobody reads its answer
     */
    public Answers(Clock clock, Duration keep, long maxBytes, Duration grace) {
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
     * @param request the request
     * @param run the run
     * @param cancellable true if it is cancelled when nobody reads it for too long
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
        entry.subscribed(subscription);
    }

    /**
     * Reads an answer from some event on, waiting for what is still to come.
     *
     * @param request the request
     * @param from number of events to skip
     * @return the rest of the answer, empty if it is not kept here
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

    /** Each reader has a place of its own, so that no listener is called under the lock. */
    private final class Entry {
        private final boolean cancellable;
        private final List<AnswerEvent> events = new ArrayList<>();
        private final List<Reader> readers = new ArrayList<>();
        private Cancellable subscription = () -> {};
        private Clock.Timer abandoned = () -> {};
        private boolean complete;
        private int bytes = BYTES_PER_EVENT;

        Entry(boolean cancellable) {
            this.cancellable = cancellable;
        }

        synchronized int bytes() {
            return bytes;
        }

        void subscribed(Cancellable value) {
            synchronized (this) {
                subscription = value;
            }
            watch();
        }

        void add(AnswerEvent event) {
            List<Reader> told;
            synchronized (this) {
                if (complete) {
                    return;
                }
                events.add(event);
                bytes +=
                        event instanceof AnswerEvent.Body(var body) ? body.size() : BYTES_PER_EVENT;
                told = List.copyOf(readers);
            }
            told.forEach(Reader::pump);
        }

        void fail(Throwable error) {
            add(AnswerEvent.End.failed(Reason.INTERNAL, String.valueOf(error)));
            complete();
        }

        void complete() {
            List<Reader> told;
            synchronized (this) {
                complete = true;
                abandoned.cancel();
                told = List.copyOf(readers);
            }
            told.forEach(Reader::pump);
        }

        void attach(int from, MultiEmitter<? super AnswerEvent> emitter) {
            Reader reader = new Reader(this, Math.max(0, from), emitter);
            synchronized (this) {
                readers.add(reader);
                abandoned.cancel();
            }
            emitter.onTermination(() -> detach(reader));
            reader.pump();
        }

        private void detach(Reader reader) {
            synchronized (this) {
                readers.remove(reader);
            }
            watch();
        }

        /** Cancels the run unless somebody comes to read it within the grace. */
        private synchronized void watch() {
            if (cancellable && !complete && readers.isEmpty()) {
                abandoned.cancel();
                abandoned = clock.after(grace, this::abandon);
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

        synchronized boolean ended(int index) {
            return complete && index >= events.size();
        }
    }

    private static final class Reader {
        private final Entry entry;
        private final MultiEmitter<? super AnswerEvent> emitter;
        private final AtomicInteger wanted = new AtomicInteger();
        private int next;

        Reader(Entry entry, int next, MultiEmitter<? super AnswerEvent> emitter) {
            this.entry = entry;
            this.next = next;
            this.emitter = emitter;
        }

        /** Emits what is new; calls that come in meanwhile are served by the one under way. */
        void pump() {
            if (wanted.getAndIncrement() > 0) {
                return;
            }
            int served = 1;
            do {
                emitNew();
                served = wanted.addAndGet(-served);
            } while (served > 0);
        }

        private void emitNew() {
            Optional<AnswerEvent> event = entry.event(next);
            while (event.isPresent()) {
                next++;
                emitter.emit(event.get());
                event = entry.event(next);
            }
            if (entry.ended(next)) {
                emitter.complete();
            }
        }
    }
}
