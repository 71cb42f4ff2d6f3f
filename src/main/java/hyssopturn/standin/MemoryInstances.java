package hyssopturn.standin;

import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.Instance;
import hyssopturn.port.InstanceList;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Instance list in memory, which lags by a set time and forgets those who stop announcing. */
public final class MemoryInstances implements InstanceList {
    private final Clock clock;
    private final Duration lag;
    private final Duration timeToLive;
    private final Map<InstanceId, Entry> entries = new HashMap<>();
    private final Deque<View> views = new ArrayDeque<>();

    private record Entry(Instance instance, long announcedNanos) {}

    private record View(long atNanos, List<Instance> instances) {}

    /**
     * Creates an empty list.
     *
     * @param clock time
     * @param lag how old the list that readers see is
     * @param timeToLive how long an entry stays without a new announcement
     */
    public MemoryInstances(Clock clock, Duration lag, Duration timeToLive) {
        this.clock = clock;
        this.lag = lag;
        this.timeToLive = timeToLive;
    }

    @Override
    public synchronized CompletableFuture<List<Instance>> list() {
        long now = clock.nanos();
        refresh(now);
        while (views.size() > 1 && secondOldest().atNanos() <= now - lag.toNanos()) {
            views.pollFirst();
        }
        return CompletableFuture.completedFuture(views.peekFirst().instances());
    }

    private View secondOldest() {
        return views.stream().skip(1).findFirst().orElseThrow();
    }

    private void refresh(long now) {
        entries.values().removeIf(e -> now - e.announcedNanos() > timeToLive.toNanos());
        List<Instance> current =
                entries.values().stream()
                        .map(Entry::instance)
                        .sorted((a, b) -> a.id().compareTo(b.id()))
                        .toList();
        if (views.isEmpty() || !views.peekLast().instances().equals(current)) {
            views.addLast(new View(now, current));
        }
    }

    @Override
    public synchronized CompletableFuture<Void> announce(Instance self) {
        entries.put(self.id(), new Entry(self, clock.nanos()));
        refresh(clock.nanos());
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Takes an instance off the list.
     *
     * @param id the instance
     */
    public synchronized void remove(InstanceId id) {
        entries.remove(id);
        refresh(clock.nanos());
    }
}
