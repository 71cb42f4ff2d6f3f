package hyssopturn.member;

import hyssopturn.member.Fact.Health;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Decides which engines a node polls and how often, and how often it reads the list.
 *
 * <p>In a small cluster every node polls every engine. In a large one each engine is polled by two
 * nodes of its region, assigned by rendezvous hashing, and nodes exchange the reports; the interval
 * grows with the number of assigned engines so that the rate is bounded.
 */
final class PollPlan {
    private static final Duration MAX_FIRST_DELAY = Duration.ofSeconds(1);
    private static final int POLLERS_PER_ENGINE = 2;
    private static final int POLLS_PER_SECOND = 4;
    private static final int LIST_BYTES_PER_INSTANCE = 200;
    private static final int LIST_BYTES_PER_SECOND = 1_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Instance self;
    private final Roster roster;
    private final Duration minInterval;
    private final RandomGenerator random;
    private final Map<InstanceId, Long> nextPollNanos = new HashMap<>();
    private List<Instance> assigned = List.of();
    private long generation = -1;
    private int nodes = 1;
    private int instances;

    PollPlan(Instance self, Roster roster, Duration minInterval, RandomGenerator random) {
        this.self = self;
        this.roster = roster;
        this.minInterval = minInterval;
        this.random = random;
    }

    /** Returns true if every node polls every engine. */
    boolean pollsAll() {
        return nodes <= Subsets.MAX_NODES_USING_ALL;
    }

    /** Returns the time between two polls of an engine. */
    Duration interval() {
        long millis = assigned.size() * MILLIS_PER_SECOND / POLLS_PER_SECOND;
        return pollsAll() ? minInterval : atLeastMinimum(millis);
    }

    /** Returns the time between two reads of the list. */
    Duration listInterval() {
        long bytes = (long) instances * LIST_BYTES_PER_INSTANCE;
        return pollsAll()
                ? minInterval
                : atLeastMinimum(bytes * MILLIS_PER_SECOND / LIST_BYTES_PER_SECOND);
    }

    private Duration atLeastMinimum(long millis) {
        return millis > minInterval.toMillis() ? Duration.ofMillis(millis) : minInterval;
    }

    /** Returns the engines to poll now and schedules their next poll. */
    List<Instance> dueEngines(long now) {
        refresh(now);
        List<Instance> result = new ArrayList<>();
        for (Instance engine : assigned) {
            if (now >= nextPollNanos.getOrDefault(engine.id(), now)) {
                nextPollNanos.put(engine.id(), now + interval().toNanos());
                result.add(engine);
            }
        }
        return result;
    }

    /** Polls an engine that did not answer again after a delay, unless its next poll is earlier. */
    void repoll(Instance engine, Duration delay, long now) {
        nextPollNanos.computeIfPresent(
                engine.id(), (id, nanos) -> Math.min(nanos, now + delay.toNanos()));
    }

    private void refresh(long now) {
        if (roster.generation() == generation) {
            return;
        }
        generation = roster.generation();
        List<Instance> alive = new ArrayList<>(List.of(self));
        roster.peers().stream().filter(p -> roster.health(p) != Health.DEAD).forEach(alive::add);
        nodes = alive.size();
        instances = roster.instances().size();
        long[] all = hashes(alive, i -> true);
        Map<String, long[]> regions = new HashMap<>();
        assigned =
                roster.instances().stream()
                        .filter(i -> i.role() instanceof Instance.Role.Engine)
                        .filter(i -> roster.health(i) != Health.DEAD)
                        .filter(i -> pollsAll() || isAssigned(i, all, regions, alive))
                        .toList();
        nextPollNanos.keySet().retainAll(assigned.stream().map(Instance::id).toList());
        for (Instance engine : assigned) {
            nextPollNanos.computeIfAbsent(
                    engine.id(), id -> now + (pollsAll() ? 0 : random.nextLong(maxFirstDelay(id))));
        }
    }

    /** Returns the bound of the random first delay, short for an engine without a report. */
    private long maxFirstDelay(InstanceId engine) {
        boolean known = roster.table().slot(engine, Fact.Kind.REPORT).isPresent();
        return known ? interval().toNanos() : MAX_FIRST_DELAY.toNanos();
    }

    private boolean isAssigned(
            Instance engine, long[] all, Map<String, long[]> regions, List<Instance> alive) {
        String region = engine.zone().region();
        long[] near =
                regions.computeIfAbsent(
                        region, r -> hashes(alive, i -> i.zone().region().equals(r)));
        boolean regional = near.length >= POLLERS_PER_ENGINE;
        if (regional && !region.equals(self.zone().region())) {
            return false;
        }
        long key = Rendezvous.hash(engine.id().value());
        long own = Rendezvous.score(key, Rendezvous.hash(self.id().value()));
        int better = 0;
        for (long node : regional ? near : all) {
            if (Rendezvous.score(key, node) > own) {
                better++;
            }
        }
        return better < POLLERS_PER_ENGINE;
    }

    private static long[] hashes(List<Instance> nodes, Predicate<Instance> wanted) {
        return nodes.stream()
                .filter(wanted)
                .mapToLong(n -> Rendezvous.hash(n.id().value()))
                .toArray();
    }
}
