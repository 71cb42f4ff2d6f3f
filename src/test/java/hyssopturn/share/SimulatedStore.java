package hyssopturn.share;

import hyssopturn.model.Bytes;
import hyssopturn.port.FailedException;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.KeyedLog;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** A store in memory with delays, outages and returns from a copy; it counts the calls. */
final class SimulatedStore {
    static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    private final VirtualClock clock;
    private final Map<String, List<KeyedLog.Entry>> streams = new HashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    Duration delay = Duration.ofMillis(10);
    boolean down;
    long era = 1;
    double calls;

    SimulatedStore(VirtualClock clock) {
        this.clock = clock;
    }

    private List<KeyedLog.Entry> stream(String name) {
        return streams.computeIfAbsent(name, n -> new ArrayList<>());
    }

    void append(String name, String key, String value) {
        Optional<Bytes> content =
                value.isEmpty() ? Optional.empty() : Optional.of(Bytes.utf8(value));
        stream(name).add(new KeyedLog.Entry(key, content, stream(name).size()));
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
    }

    /** Returns from a copy that lacks the latest records of a stream. */
    void restore(String name, int lost) {
        era++;
        for (int i = 0; i < lost; i++) {
            stream(name).removeLast();
        }
    }

    /** Connection of a node to the store. */
    final class Connection implements KeyedLog {
        private final NodeClock nodeClock;
        private final List<Runnable> listeners = new ArrayList<>();
        private OptionalLong known = OptionalLong.empty();
        boolean cut;

        Connection(NodeClock nodeClock) {
            this.nodeClock = nodeClock;
        }

        <T> CompletableFuture<T> call(double weight, Supplier<T> answer) {
            calls += weight;
            CompletableFuture<T> result = new CompletableFuture<>();
            clock.after(delay, () -> reply(result, answer));
            nodeClock.after(
                    CALL_TIMEOUT,
                    () -> result.completeExceptionally(new InDoubtException("no answer")));
            return result;
        }

        private <T> void reply(CompletableFuture<T> result, Supplier<T> answer) {
            if (cut) {
                return;
            }
            boolean refused = down;
            T content = refused ? null : answer.get();
            long answeredIn = era;
            clock.after(
                    delay,
                    () ->
                            nodeClock.deliver(
                                    () -> {
                                        if (cut || result.isDone()) {
                                            return;
                                        }
                                        if (refused) {
                                            result.completeExceptionally(
                                                    new FailedException("store is down"));
                                            return;
                                        }
                                        noteEra(answeredIn);
                                        result.complete(content);
                                    }));
        }

        private void noteEra(long told) {
            boolean restored = known.isPresent() && known.getAsLong() < told;
            known = OptionalLong.of(Math.max(told, known.orElse(0)));
            if (restored) {
                listeners.forEach(Runnable::run);
            }
        }

        @Override
        public CompletableFuture<Page> newest(String name) {
            return call(
                    1,
                    () -> {
                        Map<String, Entry> newest = new LinkedHashMap<>();
                        stream(name).forEach(e -> newest.put(e.key(), e));
                        newest.values().removeIf(e -> e.value().isEmpty());
                        return new Page(List.copyOf(newest.values()), stream(name).size());
                    });
        }

        @Override
        public CompletableFuture<Page> read(String name, long from, Duration wait) {
            if (wait.isZero()) {
                return call(1, () -> page(name, from));
            }
            calls++;
            CompletableFuture<Page> result = new CompletableFuture<>();
            clock.after(delay, () -> poll(name, from, clock.nanos() + wait.toNanos(), result));
            nodeClock.after(
                    wait.plus(CALL_TIMEOUT),
                    () -> result.completeExceptionally(new InDoubtException("no answer")));
            return result;
        }

        private void poll(String name, long from, long untilNanos, CompletableFuture<Page> result) {
            if (stream(name).size() > from || clock.nanos() >= untilNanos || down) {
                reply(result, () -> page(name, from));
                return;
            }
            Runnable again =
                    () -> {
                        if (!result.isDone()) {
                            poll(name, from, untilNanos, result);
                        }
                    };
            waiting.add(again);
            clock.after(
                    Duration.ofNanos(untilNanos - clock.nanos()),
                    () -> {
                        if (waiting.remove(again)) {
                            again.run();
                        }
                    });
        }

        private Page page(String name, long from) {
            List<Entry> all = stream(name);
            return new Page(
                    List.copyOf(all.subList((int) Math.min(from, all.size()), all.size())),
                    Math.max(from, all.size()));
        }

        @Override
        public CompletableFuture<Void> append(String stream, String key, Bytes value) {
            throw new UnsupportedOperationException("nodes of the simulation write nothing");
        }

        @Override
        public void whenRestored(Runnable listener) {
            listeners.add(listener);
        }

        @Override
        public OptionalLong era() {
            return known;
        }
    }
}
