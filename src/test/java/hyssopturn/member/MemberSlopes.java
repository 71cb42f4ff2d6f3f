package hyssopturn.member;

import hyssopturn.member.MemberSettings.Spread;
import hyssopturn.member.View.EngineView;
import hyssopturn.model.InstanceId;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Prints costs and delays of membership and exchange for clusters of given sizes and modes of
 * exchange; run by {@code config/slopes}.
 */
final class MemberSlopes {
    private static final Duration WARM_UP = Duration.ofSeconds(60);
    private static final int MEASURED_SECONDS = 30;
    private static final int ZONES = 4;
    private static final int ARGUMENTS = 4;
    private static final double NANOS = 1e9;

    private MemberSlopes() {}

    public static void main(String[] arguments) {
        System.out.println(
                "nodes engines choice spread | sent_B/s/node max_B/s msgs/s/node polls/s/node"
                        + " list_reads/s/node cpu_ms/s/node fact_B/node | leave_ms join_ms dead_ms"
                        + " load_age_s");
        for (int i = 0; i < arguments.length; i += ARGUMENTS) {
            printRow(
                    Integer.parseInt(arguments[i]),
                    Integer.parseInt(arguments[i + 1]),
                    PartnerChoice.valueOf(arguments[i + 2]),
                    Spread.valueOf(arguments[i + 3]));
        }
    }

    private static void printRow(int nodes, int engines, PartnerChoice choice, Spread spread) {
        Cluster cluster = new Cluster(1, ZONES, Duration.ofSeconds(2), choice, spread);
        for (int i = 0; i < engines; i++) {
            cluster.engine("engine-" + i, i, cluster.address());
        }
        cluster.clock.advance(Duration.ofSeconds(3));
        for (int i = 0; i < nodes; i++) {
            cluster.node("node-" + i, i);
        }
        cluster.clock.advance(WARM_UP);
        Map<InstanceId, long[]> bytes = new HashMap<>();
        long[] messages = new long[1];
        long start = cluster.clock.nanos();
        cluster.peers.watch(
                (from, to, size) -> {
                    messages[0]++;
                    long second = (long) ((cluster.clock.nanos() - start) / NANOS);
                    long[] seconds =
                            bytes.computeIfAbsent(from, f -> new long[MEASURED_SECONDS + 1]);
                    seconds[(int) second] += size + Outbox.OVERHEAD_BYTES;
                });
        long polls = cluster.polls;
        long reads = cluster.listReads;
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        cluster.clock.advance(Duration.ofSeconds(MEASURED_SECONDS));
        cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu;
        cluster.peers.watch((from, to, size) -> {});
        double perNode = (double) nodes * MEASURED_SECONDS;
        long sum = bytes.values().stream().flatMapToLong(java.util.Arrays::stream).sum();
        long max = bytes.values().stream().flatMapToLong(java.util.Arrays::stream).max().orElse(0);
        long facts = first(cluster).directory.membership().roster().table().encodedBytes();
        System.out.printf(
                "%d %d %s %s | %.0f %d %.1f %.2f %.3f %.2f %d |",
                nodes,
                engines,
                choice,
                spread,
                sum / perNode,
                max,
                messages[0] / perNode,
                (cluster.polls - polls) / perNode,
                (cluster.listReads - reads) / perNode,
                cpu / perNode / 1e6,
                facts);
        System.out.printf(
                " %d %d %d %.1f%n", leave(cluster), join(cluster), dead(cluster), age(cluster));
    }

    private static Cluster.Member first(Cluster cluster) {
        return cluster.members.values().iterator().next();
    }

    private static boolean has(Cluster.Member member, InstanceId engine) {
        return member.directory.view().allEngines().stream()
                .anyMatch(e -> e.instance().id().equals(engine));
    }

    /**
     * Returns the time from marking an engine as leaving at one node to all views, in milliseconds.
     */
    private static long leave(Cluster cluster) {
        Cluster.Engine engine = cluster.engines.values().iterator().next();
        InstanceId id = engine.instance.id();
        first(cluster).directory.markLeaving(id, engine.instance.incarnation());
        return until(cluster, () -> cluster.members.values().stream().noneMatch(m -> has(m, id)));
    }

    /** Returns the time from the listing of a new engine to all views, in milliseconds. */
    private static long join(Cluster cluster) {
        Cluster.Engine engine = cluster.engine("engine-new", 1, cluster.address());
        cluster.clock.advance(Duration.ofSeconds(2));
        InstanceId id = engine.instance.id();
        return until(cluster, () -> cluster.members.values().stream().allMatch(m -> has(m, id)));
    }

    /** Returns the time from the failure of a node to its exclusion everywhere, in milliseconds. */
    private static long dead(Cluster cluster) {
        InstanceId id = first(cluster).instance.id();
        cluster.kill(id);
        return until(
                cluster,
                () ->
                        cluster.members.values().stream()
                                .allMatch(
                                        m ->
                                                m.directory.view().unreachable().contains(id)
                                                        || m.directory.view().node(id).isEmpty()));
    }

    private static long until(Cluster cluster, java.util.function.BooleanSupplier done) {
        long start = cluster.clock.nanos();
        while (!done.getAsBoolean() && cluster.clock.nanos() - start < 120 * NANOS) {
            cluster.clock.advance(Duration.ofMillis(100));
        }
        return (long) ((cluster.clock.nanos() - start) / 1e6);
    }

    /** Returns the mean age of the load facts of the engines that a node may use, in seconds. */
    private static double age(Cluster cluster) {
        long now = cluster.clock.nanos();
        List<Cluster.Member> some = cluster.members.values().stream().limit(20).toList();
        return some.stream()
                        .flatMapToLong(
                                m -> {
                                    Set<InstanceId> used =
                                            m.directory.view().engines().stream()
                                                    .map(EngineView::instance)
                                                    .map(i -> i.id())
                                                    .collect(Collectors.toSet());
                                    FactTable table = m.directory.membership().roster().table();
                                    return used.stream()
                                            .mapToLong(
                                                    id ->
                                                            table.slot(id, Fact.Kind.LOAD)
                                                                    .map(
                                                                            s ->
                                                                                    now
                                                                                            - s
                                                                                                    .learnedNanos())
                                                                    .orElse(0L));
                                })
                        .average()
                        .orElse(0)
                / NANOS;
    }
}
