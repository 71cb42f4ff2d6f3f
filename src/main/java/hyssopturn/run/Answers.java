package hyssopturn.run;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Reason;
import hyssopturn.model.RequestId;
import hyssopturn.port.Clock;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.BackPressureStrategy;
import io.smallrye.mutiny.subscription.MultiEmitter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Keeps answers for a while, so that a caller that lost its connection fetches the rest. */
public final class Answers {
    private static final int BYTES_PER_EVENT = 64;

    private final Cache<RequestId, Entry> entries;

    /**
     * Creates an empty store.
     *
     * @param clock time
     * @param keep how long an answer is kept after it was last read or written
     * @param maxBytes greatest size of all answers kept, in bytes
     */
    public Answers(Clock clock, Duration keep, long maxBytes) {
        entries =
                Caffeine.newBuilder()
                        .ticker(clock::nanos)
                        .expireAfterAccess(keep)
                        .maximumWeight(maxBytes)
                        .weigher((RequestId id, Entry entry) -> entry.bytes())
                        .build();
    }

    /**
     * Starts a run and keeps its answer; the run goes on when its reader goes away.
     *
     * @param request the request
     * @param run the run
     */
    public void start(RequestId request, Multi<AnswerEvent> run) {
        Entry entry = new Entry();
        entries.put(request, entry);
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

    private static final class Entry {
        private final List<AnswerEvent> events = new ArrayList<>();
        private final List<MultiEmitter<? super AnswerEvent>> readers = new ArrayList<>();
        private boolean complete;

        synchronized int bytes() {
            return BYTES_PER_EVENT
                    + events.stream()
                            .mapToInt(
                                    e ->
                                            e instanceof AnswerEvent.Body(var body)
                                                    ? body.size()
                                                    : BYTES_PER_EVENT)
                            .sum();
        }

        synchronized void add(AnswerEvent event) {
            events.add(event);
            readers.forEach(r -> r.emit(event));
        }

        synchronized void fail(Throwable error) {
            add(AnswerEvent.End.failed(Reason.INTERNAL, String.valueOf(error)));
            complete();
        }

        synchronized void complete() {
            complete = true;
            // completing a reader detaches it
            List.copyOf(readers).forEach(MultiEmitter::complete);
            readers.clear();
        }

        synchronized void attach(int from, MultiEmitter<? super AnswerEvent> reader) {
            for (int i = Math.max(0, from); i < events.size(); i++) {
                reader.emit(events.get(i));
            }
            if (complete) {
                reader.complete();
                return;
            }
            readers.add(reader);
            reader.onTermination(() -> detach(reader));
        }

        private synchronized void detach(MultiEmitter<? super AnswerEvent> reader) {
            readers.remove(reader);
        }
    }
}
