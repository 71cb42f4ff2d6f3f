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
 * Prints how long streams take to go on after a fault, for the naive and the recovering driver.
 *
 * <p>Time is virtual; the same seeds give the same figures. Run it by {@code
 * config/measure-recovery}.
 */
final class RecoveryMeasure {
    private static final int SEEDS = 40;
    private static final int STREAMS = 60;
    private static final int WORDS = 12;
    private static final int TOKENS = 64;
    private static final int HOLDERS = 4;
    private static final double SLOWER = 4;
    private static final Duration ARRIVAL = Duration.ofMillis(40);
    private static final Duration FAULT_AT = Duration.ofMillis(1_300);
    private static final Duration LISTED_DEAD = Duration.ofMillis(500);
    private static final Duration END = Duration.ofSeconds(40);
    private static final int ACTIVATION_BYTES = 1 << 20;
    private static final double NANOS_PER_MILLI = 1e6;

    private RecoveryMeasure() {}

    /** What goes wrong. */
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
        int never;
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
                "median, p99: from the fault to the next token, in times between tokens");
        System.out.println("recomp.: tokens run again through the whole model, an affected stream");
        System.out.println("during, after: share of streams within target, begun before and after");
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
                result.never,
                at(result.gaps, 0.5),
                at(result.gaps, 0.99),
                result.damaged,
                result.recomputed / Math.max(1, result.affected) / Town.MODEL.layers(),
                (double) result.duringInTarget / result.during,
                (double) result.afterInTarget / result.after,
                result.between.get(result.between.size() / 2) / NANOS_PER_MILLI);
    }

    private static String at(List<Double> sorted, double share) {
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
        Town town = new Town(seed, recovering, bytes, UnaryOperator.identity());
        EngineProfile profile = EngineProfile.quick().slower(SLOWER);
        int number = 0;
        for (int holder = 0; holder < HOLDERS; holder++) {
            for (int from = 0; from < Town.MODEL.layers(); from += 2) {
                town.engine(number++, from, from + 2, profile);
            }
        }
        town.look();
        for (int i = 0; i < STREAMS; i++) {
            town.clock.after(ARRIVAL.multipliedBy(i), () -> town.start(WORDS, TOKENS));
        }
        town.clock.advance(FAULT_AT);
        Address victim = new Address("127.0.0.1", 1001);
        Set<Town.Reader> affected = affected(town, victim);
        long at = town.clock.nanos();
        strike(town, victim, fault);
        town.clock.advance(END);
        note(town, affected, at, result);
    }

    private static Set<Town.Reader> affected(Town town, Address victim) {
        Set<Object> there = new HashSet<>();
        town.engines.arrivals().stream()
                .filter(a -> a.engine().equals(victim))
                .forEach(a -> there.add(a.request()));
        Set<Town.Reader> readers = new HashSet<>(town.readers);
        readers.removeIf(r -> r.end().isPresent() || !there.contains(r.generation.request()));
        return readers;
    }

    private static void strike(Town town, Address victim, Fault fault) {
        FaultyEngines.Host host = town.engines.host(victim);
        switch (fault) {
            case NONE -> {
                // nothing goes wrong
            }
            case KILL -> {
                town.engines.kill(victim);
                town.clock.after(
                        LISTED_DEAD,
                        () -> {
                            town.instances.remove(victim);
                            town.look();
                        });
            }
            case SILENT_CONNECTIONS -> host.pooledSilent = true;
            case FREEZE -> host.frozen = true;
            case CUT_LINK -> host.cut = true;
        }
    }

    private static void note(Town town, Set<Town.Reader> affected, long at, Result result) {
        result.affected += affected.size();
        result.recomputed += town.recomputedLayerTokens();
        for (Town.Reader reader : town.readers) {
            boolean before = reader.generation.arrivedNanos() <= at;
            if (before && endedBefore(reader, at)) {
                between(reader, at, result);
                continue;
            }
            boolean inTarget = inTarget(reader);
            result.during += before ? 1 : 0;
            result.duringInTarget += before && inTarget ? 1 : 0;
            result.after += before ? 0 : 1;
            result.afterInTarget += !before && inTarget ? 1 : 0;
            result.damaged += damaged(reader) ? 1 : 0;
            between(reader, at, result);
        }
        double token = middle(result.between);
        for (Town.Reader reader : affected) {
            reader.times.stream()
                    .limit(reader.words().size())
                    .filter(t -> t > at)
                    .findFirst()
                    .ifPresentOrElse(t -> result.gaps.add((t - at) / token), () -> result.never++);
        }
    }

    private static double middle(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
    }

    private static boolean endedBefore(Town.Reader reader, long at) {
        return reader.end().isPresent() && reader.times.getLast() <= at;
    }

    private static void between(Town.Reader reader, long limit, Result result) {
        for (int i = 1; i < reader.words().size(); i++) {
            if (reader.times.get(i) <= limit) {
                result.between.add((double) (reader.times.get(i) - reader.times.get(i - 1)));
            }
        }
    }

    private static boolean inTarget(Town.Reader reader) {
        if (reader.end().isEmpty() || reader.end().get().outcome() != Outcome.DONE) {
            return false;
        }
        int tokens = reader.words().size();
        long first = reader.times.getFirst() - reader.generation.arrivedNanos();
        long rest = reader.times.get(tokens - 1) - reader.times.getFirst();
        return first <= Town.TARGET.first().toNanos()
                && rest <= (tokens - 1) * Town.TARGET.between().toNanos();
    }

    private static boolean damaged(Town.Reader reader) {
        List<String> words = reader.words();
        List<String> expected = reader.expected();
        boolean prefix =
                words.size() <= expected.size() && words.equals(expected.subList(0, words.size()));
        boolean truncated =
                reader.end().isPresent()
                        && reader.end().get().outcome() == Outcome.DONE
                        && words.size() < expected.size();
        return !prefix || truncated;
    }
}
