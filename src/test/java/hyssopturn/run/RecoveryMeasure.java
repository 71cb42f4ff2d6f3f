package hyssopturn.run;

import hyssopturn.model.Address;
import hyssopturn.model.Outcome;
import hyssopturn.standin.EngineProfile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Prints how long streams are interrupted by a fault, for the naive and the recovering driver.
 *
 * <p>Time is virtual, so equal seeds give equal figures. Run it with {@code
 * config/measure-recovery}.
 */
final class RecoveryMeasure {
    private static final int SEEDS = 40;
    private static final int STREAMS = 60;
    private static final int WORDS = 12;
    private static final int TOKENS = 64;
    private static final int HOLDERS = 4;
    private static final double SLOWDOWN = 4;
    private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(40);
    private static final Duration FAULT_AT = Duration.ofMillis(1_300);
    private static final Duration REMOVAL_DELAY = Duration.ofMillis(500);
    private static final Duration END = Duration.ofSeconds(40);
    private static final int ACTIVATION_BYTES = 1 << 20;
    private static final double NANOS_PER_MILLI = 1e6;

    private RecoveryMeasure() {}

    /** The fault that is injected. */
    private enum Fault {
        NONE,
        KILL,
        SILENT_CONNECTIONS,
        FREEZE,
        CUT_LINK
    }

    private static final class Result {
        final List<Double> gaps = new ArrayList<>();
        final List<Double> between = new ArrayList<>();
        int affected;
        int neverResumed;
        int damaged;
        int during;
        int duringInTarget;
        int after;
        int afterInTarget;
        double recomputed;
    }

    public static void main(String[] args) {
        System.out.printf(
                "%-19s %-11s %8s %8s %8s %8s %8s %9s %9s %9s%n",
                "fault",
                "driver",
                "affected",
                "never",
                "median",
                "p99",
                "damaged",
                "recomp.",
                "during",
                "after");
        for (Fault fault : Fault.values()) {
            print(fault, "naive", run(fault, false, ACTIVATION_BYTES));
            print(fault, "recovering", run(fault, true, ACTIVATION_BYTES));
            print(fault, "no buffers", run(fault, true, 0));
        }
        System.out.println(
                "median, p99: time from the fault to the next token, in multiples of the token"
                        + " interval");
        System.out.println(
                "recomp.: tokens recomputed through the whole model, per affected stream");
        System.out.println(
                "during, after: share of streams within target, started before and after the"
                        + " fault");
    }

    private static void print(Fault fault, String driver, Result result) {
        result.gaps.sort(null);
        result.between.sort(null);
        System.out.printf(
                Locale.ROOT,
                "%-19s %-11s %8d %8d %8s %8s %8d %9.2f %9.3f %9.3f   token %.1f ms%n",
                fault,
                driver,
                result.affected,
                result.neverResumed,
                quantile(result.gaps, 0.5),
                quantile(result.gaps, 0.99),
                result.damaged,
                result.recomputed / Math.max(1, result.affected) / SimulatedCluster.MODEL.layers(),
                (double) result.duringInTarget / result.during,
                (double) result.afterInTarget / result.after,
                result.between.get(result.between.size() / 2) / NANOS_PER_MILLI);
    }

    private static String quantile(List<Double> sorted, double share) {
        if (sorted.isEmpty()) {
            return "-";
        }
        int index = (int) Math.min(sorted.size() - 1.0, Math.floor(share * sorted.size()));
        return "%.1f".formatted(sorted.get(index));
    }

    private static Result run(Fault fault, boolean recovering, int bytes) {
        Result result = new Result();
        for (int seed = 0; seed < SEEDS; seed++) {
            play(seed, fault, recovering, bytes, result);
        }
        return result;
    }

    private static void play(int seed, Fault fault, boolean recovering, int bytes, Result result) {
        SimulatedCluster cluster =
                new SimulatedCluster(seed, recovering, bytes, UnaryOperator.identity());
        EngineProfile profile = EngineProfile.quick().slower(SLOWDOWN);
        int number = 0;
        for (int holder = 0; holder < HOLDERS; holder++) {
            for (int from = 0; from < SimulatedCluster.MODEL.layers(); from += 2) {
                cluster.addEngine(number++, from, from + 2, profile);
            }
        }
        cluster.refreshView();
        for (int i = 0; i < STREAMS; i++) {
            cluster.clock.after(
                    ARRIVAL_INTERVAL.multipliedBy(i), () -> cluster.start(WORDS, TOKENS));
        }
        cluster.clock.advance(FAULT_AT);
        Address victim = new Address("127.0.0.1", 1001);
        Set<SimulatedCluster.Caller> affected = affected(cluster, victim);
        long faultNanos = cluster.clock.nanos();
        injectFault(cluster, victim, fault);
        cluster.clock.advance(END);
        collect(cluster, affected, faultNanos, result);
    }

    private static Set<SimulatedCluster.Caller> affected(SimulatedCluster cluster, Address victim) {
        Set<Object> requestsAtVictim = new HashSet<>();
        cluster.engines.arrivals().stream()
                .filter(a -> a.engine().equals(victim))
                .forEach(a -> requestsAtVictim.add(a.request()));
        Set<SimulatedCluster.Caller> callers = new HashSet<>(cluster.callers);
        callers.removeIf(
                r -> r.end().isPresent() || !requestsAtVictim.contains(r.generation.request()));
        return callers;
    }

    private static void injectFault(SimulatedCluster cluster, Address victim, Fault fault) {
        FaultyEngines.Host host = cluster.engines.host(victim);
        switch (fault) {
            case NONE -> {
                // no fault
            }
            case KILL -> {
                cluster.engines.kill(victim);
                cluster.clock.after(
                        REMOVAL_DELAY,
                        () -> {
                            cluster.instances.remove(victim);
                            cluster.refreshView();
                        });
            }
            case SILENT_CONNECTIONS -> host.pooledSilent = true;
            case FREEZE -> host.frozen = true;
            case CUT_LINK -> host.cut = true;
        }
    }

    private static void collect(
            SimulatedCluster cluster,
            Set<SimulatedCluster.Caller> affected,
            long faultNanos,
            Result result) {
        result.affected += affected.size();
        result.recomputed += cluster.recomputedLayerTokens();
        for (SimulatedCluster.Caller caller : cluster.callers) {
            boolean before = caller.generation.arrivedNanos() <= faultNanos;
            if (before && endedBefore(caller, faultNanos)) {
                between(caller, faultNanos, result);
                continue;
            }
            boolean inTarget = inTarget(caller);
            result.during += before ? 1 : 0;
            result.duringInTarget += before && inTarget ? 1 : 0;
            result.after += before ? 0 : 1;
            result.afterInTarget += !before && inTarget ? 1 : 0;
            result.damaged += damaged(caller) ? 1 : 0;
            between(caller, faultNanos, result);
        }
        double token = median(result.between);
        for (SimulatedCluster.Caller caller : affected) {
            caller.eventNanos.stream()
                    .limit(caller.words().size())
                    .filter(t -> t > faultNanos)
                    .findFirst()
                    .ifPresentOrElse(
                            t -> result.gaps.add((t - faultNanos) / token),
                            () -> result.neverResumed++);
        }
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
    }

    private static boolean endedBefore(SimulatedCluster.Caller caller, long faultNanos) {
        return caller.end().isPresent() && caller.eventNanos.getLast() <= faultNanos;
    }

    private static void between(SimulatedCluster.Caller caller, long limit, Result result) {
        for (int i = 1; i < caller.words().size(); i++) {
            if (caller.eventNanos.get(i) <= limit) {
                result.between.add(
                        (double) (caller.eventNanos.get(i) - caller.eventNanos.get(i - 1)));
            }
        }
    }

    private static boolean inTarget(SimulatedCluster.Caller caller) {
        if (caller.end().isEmpty() || caller.end().get().outcome() != Outcome.DONE) {
            return false;
        }
        int tokens = caller.words().size();
        long first = caller.eventNanos.getFirst() - caller.generation.arrivedNanos();
        long rest = caller.eventNanos.get(tokens - 1) - caller.eventNanos.getFirst();
        return first <= SimulatedCluster.TARGET.first().toNanos()
                && rest <= (tokens - 1) * SimulatedCluster.TARGET.between().toNanos();
    }

    private static boolean damaged(SimulatedCluster.Caller caller) {
        List<String> words = caller.words();
        List<String> expected = caller.expected();
        boolean prefix =
                words.size() <= expected.size() && words.equals(expected.subList(0, words.size()));
        boolean truncated =
                caller.end().isPresent()
                        && caller.end().get().outcome() == Outcome.DONE
                        && words.size() < expected.size();
        return !prefix || truncated;
    }
}
