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
 * Which engines a node polls and how often, and how often it reads the list.
 *
 * <p>Few nodes poll every engine. Many share the engines out by rendezvous hashing, two nodes of
 * its region an engine, and tell each other the rest; the interval grows so that the rate is
 * bounded.
 */
final class PollPlan {
    private static final Duration FIRST_POLL = Duration.ofSeconds(1);
    private static final int POLLERS = 2;
    private static final int POLLS_PER_SECOND = 4;
    private static final int LIST_BYTES_PER_INSTANCE = 200;
    private static final int LIST_BYTES_PER_SECOND = 1_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Instance self;
    private final Roster roster;
    private final Duration least;
    private final RandomGenerator random;
    private final Map<InstanceId, Long> due = new HashMap<>();
    private List<Instance> mine = List.of();
    private long generation = -1;
    private int nodes = 1;
    private int instances;

    PollPlan(Instance self, Roster roster, Duration least, RandomGenerator random) {
        this.self = self;
        this.roster = roster;
        this.least = least;
        this.random = random;
    }

    /** True if every node polls every engine. */
    boolean pollsAll() {
        return nodes <= Subsets.ALL_NODES;
    }

    /** Time between two polls of an engine. */
    Duration interval() {
        long millis = mine.size() * MILLIS_PER_SECOND / POLLS_PER_SECOND;
        return pollsAll() ? least : longer(millis);
    }

    /** Time between two readings of the list. */
    Duration listInterval() {
        long bytes = (long) instances * LIST_BYTES_PER_INSTANCE;
        return pollsAll() ? least : longer(bytes * MILLIS_PER_SECOND / LIST_BYTES_PER_SECOND);
    }

    private Duration longer(long millis) {
        return millis > least.toMillis() ? Duration.ofMillis(millis) : least;
    }

    /** Engines to poll now. */
    List<Instance> due(long now) {
        refresh(now);
        List<Instance> result = new ArrayList<>();
        for (Instance engine : mine) {
            if (now >= due.getOrDefault(engine.id(), now)) {
                due.put(engine.id(), now + interval().toNanos());
                result.add(engine);
            }
        }
        return result;
    }

    /** Polls an engine again soon, for it did not answer. */
    void again(Instance engine, Duration delay, long now) {
        due.computeIfPresent(engine.id(), (id, nanos) -> Math.min(nanos, now + delay.toNanos()));
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
        mine =
                roster.instances().stream()
                        .filter(i -> i.role() instanceof Instance.Role.Engine)
                        .filter(i -> roster.health(i) != Health.DEAD)
                        .filter(i -> pollsAll() || isMine(i, all, regions, alive))
                        .toList();
        due.keySet().retainAll(mine.stream().map(Instance::id).toList());
        for (Instance engine : mine) {
            due.computeIfAbsent(
                    engine.id(), id -> now + (pollsAll() ? 0 : random.nextLong(firstWait(id))));
        }
    }

    /** An engine that nobody has reported yet is polled soon. */
    private long firstWait(InstanceId engine) {
        boolean known = roster.table().slot(engine, Fact.Kind.REPORT).isPresent();
        return known ? interval().toNanos() : FIRST_POLL.toNanos();
    }

    private boolean isMine(
            Instance engine, long[] all, Map<String, long[]> regions, List<Instance> alive) {
        String region = engine.zone().region();
        long[] near =
                regions.computeIfAbsent(
                        region, r -> hashes(alive, i -> i.zone().region().equals(r)));
        boolean regional = near.length >= POLLERS;
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
        return better < POLLERS;
    }

    private static long[] hashes(List<Instance> nodes, Predicate<Instance> wanted) {
        return nodes.stream()
                .filter(wanted)
                .mapToLong(n -> Rendezvous.hash(n.id().value()))
                .toArray();
    }
}
