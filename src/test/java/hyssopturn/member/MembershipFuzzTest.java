package hyssopturn.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.member.MemberSettings.Spread;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Instance;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Checks invariants of views under random faults in virtual time. */
class MembershipFuzzTest {
    private static final int NODES = 10;
    private static final int ENGINES = 12;
    private static final int ZONES = 4;
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(2);
    private static final Duration CONVERGENCE_BOUND = Duration.ofSeconds(60);
    private static final Duration QUIET_PERIOD = Duration.ofSeconds(20);
    private static final Set<Action> NETWORK_FAULTS =
            EnumSet.of(
                    Action.PAUSE_NODE,
                    Action.RESUME_ALL,
                    Action.PARTITION_ZONE,
                    Action.HEAL_PARTITION,
                    Action.LOSE_AND_DUPLICATE,
                    Action.CLEAR_LINK_FAULTS);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int BYTES_PER_SECOND = 13_000;
    private static final long NANOS = 1_000_000_000L;

    /** An action on the cluster. */
    enum Action {
        KILL_NODE,
        RESTART_NODE,
        PAUSE_NODE,
        RESUME_ALL,
        KILL_ENGINE,
        RESTART_ENGINE,
        REUSE_ADDRESS,
        MARK_LEAVING,
        DRAIN_ENGINE,
        PARTITION_ZONE,
        HEAL_PARTITION,
        LOSE_AND_DUPLICATE,
        CLEAR_LINK_FAULTS
    }

    /** An action, a number that selects its subject, and the delay before the next action. */
    record Step(Action action, int pick, int millis) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step =
                net.jqwik.api.Combinators.combine(
                                Arbitraries.of(Action.values()),
                                Arbitraries.integers().between(0, 1_000),
                                Arbitraries.integers().between(0, 5_000))
                        .as(Step::new);
        return step.list().ofMinSize(5).ofMaxSize(25);
    }

    @Property(tries = 40, seed = "7", shrinking = ShrinkingMode.BOUNDED)
    void viewsKeepInvariantsUnderRandomFaults(
            @ForAll("steps") List<Step> steps, @ForAll long seed) {
        new CheckedCluster(seed, Spread.DIFFERENCES).run(steps);
    }

    @Test
    void invariantCheckFailsWhenLeavingMarksAreLost() {
        CheckedCluster checked = new CheckedCluster(1, Spread.DIFFERENCES);
        checked.cluster.filterFacts(f -> f.kind() != Fact.Kind.LEAVING);
        List<Step> steps = List.of(new Step(Action.MARK_LEAVING, 3, 4_000));
        assertThrows(AssertionError.class, () -> checked.run(steps));
    }

    @Test
    void invariantCheckFailsWhenReportsAreLost() {
        CheckedCluster checked = new CheckedCluster(1, Spread.DIFFERENCES);
        checked.cluster.filterFacts(f -> f.kind() != Fact.Kind.REPORT);
        List<Step> steps = List.of(new Step(Action.RESTART_ENGINE, 3, 2_000));
        assertThrows(AssertionError.class, () -> checked.run(steps));
    }

    @Test
    void invariantCheckFailsWhenRateLimitIsExceeded() {
        CheckedCluster checked = new CheckedCluster(1, Spread.DIFFERENCES);
        checked.cluster.peers.watch((from, to, size) -> checked.count(from, size * 10));
        assertThrows(AssertionError.class, () -> checked.run(List.of()));
    }

    @Test
    void differencesLeadToTheSameViewsAsFullExchange() {
        List<Step> steps = new ArrayList<>();
        for (Action action : Action.values()) {
            steps.add(new Step(action, 3, 2_000));
        }
        CheckedCluster differences = new CheckedCluster(1, Spread.DIFFERENCES);
        CheckedCluster full = new CheckedCluster(1, Spread.FULL);
        differences.run(steps);
        full.run(steps);
        assertThat(differences.views(), is(full.views()));
    }

    /** A simulated cluster whose views are checked after each step of virtual time. */
    private static final class CheckedCluster {
        private final Cluster cluster;
        private final Map<InstanceId, long[]> sent = new HashMap<>();
        private final Map<Instance, Long> leftNanos = new HashMap<>();
        private final Map<Instance, Set<Instance>> knownLeft = new HashMap<>();
        private long disturbedNanos = -QUIET_PERIOD.toNanos();
        private int newEngines;

        CheckedCluster(long seed, Spread spread) {
            cluster = new Cluster(seed, ZONES, Duration.ofSeconds(1), PartnerChoice.RING, spread);
            for (int i = 0; i < ENGINES; i++) {
                cluster.engine("engine-" + i, i, cluster.address());
            }
            cluster.clock.advance(Duration.ofSeconds(2));
            for (int i = 0; i < NODES; i++) {
                cluster.node("node-" + i, i);
            }
            cluster.peers.watch((from, to, size) -> count(from, size));
        }

        private void count(InstanceId from, int size) {
            int second = (int) (cluster.clock.nanos() / NANOS);
            long[] seconds = sent.computeIfAbsent(from, f -> new long[1_000]);
            seconds[second] += size + Outbox.OVERHEAD_BYTES;
        }

        void run(List<Step> steps) {
            advance(Duration.ofSeconds(15));
            for (Step step : steps) {
                apply(step);
                advance(Duration.ofMillis(step.millis()));
            }
            settle();
            long worst =
                    sent.values().stream().flatMapToLong(java.util.Arrays::stream).max().orElse(0);
            assertThat(worst, lessThanOrEqualTo((long) BYTES_PER_SECOND));
        }

        private void apply(Step step) {
            switch (step.action()) {
                case KILL_NODE -> {
                    if (cluster.members.size() > NODES / 2) {
                        cluster.kill(member(step).instance.id());
                    }
                }
                case RESTART_NODE -> {
                    Cluster.Member before = member(step);
                    cluster.kill(before.instance.id());
                    cluster.node(before.instance.id().value(), step.pick());
                }
                case PAUSE_NODE -> member(step).clock.pause();
                case RESUME_ALL -> resumeAll();
                case KILL_ENGINE -> {
                    if (cluster.engines.size() > 2) {
                        cluster.stop(engine(step));
                    }
                }
                case RESTART_ENGINE -> {
                    Instance before = engine(step).instance;
                    cluster.stop(engine(step));
                    cluster.engine(before.id().value(), step.pick(), before.address());
                }
                case REUSE_ADDRESS -> {
                    Instance before = engine(step).instance;
                    cluster.stop(engine(step));
                    newEngines++;
                    cluster.engine("new-" + newEngines, step.pick(), before.address());
                }
                case MARK_LEAVING -> markLeaving(step);
                case DRAIN_ENGINE -> engine(step).draining = true;
                case PARTITION_ZONE -> partition(step.pick() % ZONES);
                case HEAL_PARTITION -> cluster.peers.cut((a, b) -> false);
                case LOSE_AND_DUPLICATE -> cluster.peers.faults(0.2, 0.1);
                case CLEAR_LINK_FAULTS -> cluster.peers.faults(0, 0);
            }
            if (NETWORK_FAULTS.contains(step.action())) {
                disturbedNanos = cluster.clock.nanos();
            }
        }

        private Cluster.Member member(Step step) {
            return List.copyOf(cluster.members.values()).get(step.pick() % cluster.members.size());
        }

        private Cluster.Engine engine(Step step) {
            return List.copyOf(cluster.engines.values()).get(step.pick() % cluster.engines.size());
        }

        private void markLeaving(Step step) {
            Cluster.Member member = member(step);
            Instance engine = engine(step).instance;
            boolean known =
                    member.directory.view().allEngines().stream()
                            .anyMatch(e -> e.instance().equals(engine));
            if (known && !member.clock.isPaused()) {
                member.directory.markLeaving(engine.id(), engine.incarnation());
                leftNanos.putIfAbsent(engine, cluster.clock.nanos());
            }
        }

        private void partition(int zone) {
            Set<InstanceId> inside =
                    cluster.members.values().stream()
                            .map(m -> m.instance)
                            .filter(i -> i.zone().equals(cluster.zone(zone)))
                            .map(Instance::id)
                            .collect(Collectors.toSet());
            cluster.peers.cut((a, b) -> inside.contains(a) != inside.contains(b));
        }

        private void resumeAll() {
            cluster.members.values().forEach(m -> m.clock.resume());
        }

        private void advance(Duration span) {
            long end = cluster.clock.nanos() + span.toNanos();
            while (cluster.clock.nanos() < end) {
                cluster.clock.advance(STEP);
                check();
            }
        }

        private void check() {
            long now = cluster.clock.nanos();
            for (Cluster.Member member : cluster.members.values()) {
                Set<Instance> usable = usable(member);
                Set<Instance> left =
                        knownLeft.computeIfAbsent(member.instance, m -> new HashSet<>());
                if (member.clock.isPaused()) {
                    continue;
                }
                Set<Instance> reused = new HashSet<>(left);
                reused.retainAll(usable);
                assertThat("left engines used at " + member.instance.id(), reused, is(empty()));
                leftNanos.forEach(
                        (engine, since) -> {
                            long from = Math.max(since, disturbedNanos);
                            if (now - from > LEAVING_BOUND.toNanos() && !disturbed()) {
                                assertThat(usable.contains(engine), is(false));
                            }
                            if (!usable.contains(engine)
                                    && now - since > 0
                                    && knowsLeft(member, engine)) {
                                left.add(engine);
                            }
                        });
            }
            knownLeft
                    .keySet()
                    .retainAll(cluster.members.values().stream().map(m -> m.instance).toList());
        }

        private static boolean knowsLeft(Cluster.Member member, Instance engine) {
            return member.directory
                    .membership()
                    .roster()
                    .isLeaving(engine.id(), engine.incarnation());
        }

        /** Returns true until the quiet period after the last network fault has passed. */
        private boolean disturbed() {
            return cluster.clock.nanos() - disturbedNanos < QUIET_PERIOD.toNanos();
        }

        private static Set<Instance> usable(Cluster.Member member) {
            return member.directory.view().allEngines().stream()
                    .map(View.EngineView::instance)
                    .collect(Collectors.toSet());
        }

        private void settle() {
            cluster.peers.cut((a, b) -> false);
            cluster.peers.faults(0, 0);
            resumeAll();
            disturbedNanos = cluster.clock.nanos();
            advance(CONVERGENCE_BOUND);
            Set<String> expected = new TreeSet<>();
            for (Cluster.Engine engine : cluster.engines.values()) {
                if (!engine.draining && !leftNanos.containsKey(engine.instance)) {
                    expected.add(engine.instance.id() + "#" + engine.instance.incarnation());
                }
            }
            for (Map.Entry<InstanceId, Set<String>> view : views().entrySet()) {
                Set<String> all = new TreeSet<>(expected);
                cluster.members.keySet().forEach(m -> all.add(m.value()));
                assertThat("view of " + view.getKey(), view.getValue(), is(all));
            }
            assertThat(views().keySet(), is(not(empty())));
        }

        /** Returns the usable engines and reachable nodes in the view of each node. */
        Map<InstanceId, Set<String>> views() {
            Map<InstanceId, Set<String>> views = new HashMap<>();
            for (Cluster.Member member : cluster.members.values()) {
                View view = member.directory.view();
                Set<String> names = new TreeSet<>();
                usable(member).forEach(i -> names.add(i.id() + "#" + i.incarnation()));
                view.nodes().stream()
                        .map(Instance::id)
                        .filter(id -> !view.unreachable().contains(id))
                        .forEach(id -> names.add(id.value()));
                views.put(member.instance.id(), names);
            }
            return views;
        }
    }
}
