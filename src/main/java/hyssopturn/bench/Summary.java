package hyssopturn.bench;

import org.HdrHistogram.Histogram;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Works figures out of what became of each arrival. */
final class Summary {
    private static final long HIGHEST_MILLIS = 600_000;
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double POINTS = 100;
    private static final double BACK = 0.95;
    private static final int BACK_SECONDS = 2;

    private final Scenario scenario;
    private final Bound bound;
    private final List<Served> measured;
    private final List<Served> all;

    Summary(Scenario scenario, Bound bound, List<Served> all) {
        this.scenario = scenario;
        this.bound = bound;
        this.all = all;
        measured =
                all.stream()
                        .filter(s -> s.arrival().atNanos() >= Scenario.WARM_UP.toNanos())
                        .toList();
    }

    Result result(String variant, List<Run.Gauge> gauges, double othersCost) {
        List<Result.Second> seconds = seconds(gauges);
        Map<String, Double> accounts = accounts();
        double best = accounts.values().stream().mapToDouble(x -> x).max().orElse(0);
        double worst = accounts.values().stream().mapToDouble(x -> x).min().orElse(0);
        Recovery recovery = Recovery.of(scenario, seconds);
        return new Result(
                variant,
                metWork() / bound.work(),
                share(measured),
                classes(),
                accounts,
                (best - worst) * POINTS,
                othersCost,
                endings(),
                recovery.fromWhole(),
                recovery.fromFault(),
                recovery.lowest(),
                seconds);
    }

    private double metWork() {
        return measured.stream().filter(Served::met).mapToDouble(s -> s.arrival().work()).sum();
    }

    static double share(Collection<Served> some) {
        return some.isEmpty()
                ? 1
                : (double) some.stream().filter(Served::met).count() / some.size();
    }

    /** Returns the share within target of requests that are not part of the flood. */
    double othersShare(String flooding) {
        return share(
                measured.stream()
                        .filter(s -> !s.arrival().account().value().equals(flooding))
                        .toList());
    }

    private Map<String, Result.ClassResult> classes() {
        Map<String, Result.ClassResult> results = new TreeMap<>();
        grouped(s -> s.arrival().workClass().name().value())
                .forEach((name, some) -> results.put(name, classResult(some)));
        return results;
    }

    private Result.ClassResult classResult(List<Served> some) {
        boolean model = some.getFirst().arrival().tokens() > 0;
        double share = share(some);
        Histogram first = firstMillis(some);
        return new Result.ClassResult(
                some.size(),
                share,
                model ? share / bound.share() : share,
                List.of(
                        (double) first.getValueAtPercentile(50),
                        (double) first.getValueAtPercentile(95),
                        (double) first.getValueAtPercentile(99)));
    }

    private static Histogram firstMillis(List<Served> some) {
        Histogram histogram = new Histogram(HIGHEST_MILLIS, DIGITS);
        some.stream()
                .filter(Served::begun)
                .mapToLong(s -> Math.round(s.toFirstNanos() / NANOS_PER_MILLI))
                .forEach(ms -> histogram.recordValue(Math.min(ms, HIGHEST_MILLIS)));
        return histogram;
    }

    private Map<String, Double> accounts() {
        Map<String, Double> shares = new TreeMap<>();
        grouped(s -> s.arrival().account().value())
                .forEach((name, some) -> shares.put(name, share(some)));
        return shares;
    }

    private Map<String, List<Served>> grouped(Function<Served, String> key) {
        return measured.stream()
                .collect(Collectors.groupingBy(key, TreeMap::new, Collectors.toList()));
    }

    private Map<String, Long> endings() {
        return measured.stream()
                .collect(
                        Collectors.groupingBy(Served::ending, TreeMap::new, Collectors.counting()));
    }

    private List<Result.Second> seconds(List<Run.Gauge> gauges) {
        Map<Long, List<Served>> bySecond =
                all.stream()
                        .collect(Collectors.groupingBy(s -> s.arrival().atNanos() / 1_000_000_000));
        List<Result.Second> seconds = new ArrayList<>();
        for (int i = 0; i < gauges.size(); i++) {
            List<Served> some = bySecond.getOrDefault((long) i, List.of());
            Run.Gauge gauge = gauges.get(i);
            seconds.add(
                    new Result.Second(
                            i,
                            some.size(),
                            share(some),
                            firstMillis(some).getValueAtPercentile(95),
                            gauge.waiting(),
                            gauge.running(),
                            gauge.limit()));
        }
        return seconds;
    }

    /**
     * When attainment was back at 95 % of before for two seconds on end.
     *
     * @param fromWhole seconds from whole capacity, -1 if never
     * @param fromFault seconds from the fault, -1 if never, 0 if it never fell
     * @param lowest least share within target in a second after the fault
     */
    private record Recovery(double fromWhole, double fromFault, double lowest) {
        static Recovery of(Scenario scenario, List<Result.Second> seconds) {
            if (scenario.fault().isEmpty()) {
                return new Recovery(0, 0, 1);
            }
            int fault = (int) scenario.fault().get().from().toSeconds();
            int whole = (int) scenario.fault().get().to().toSeconds();
            int warm = (int) Scenario.WARM_UP.toSeconds();
            double before =
                    seconds.subList(warm, fault).stream()
                            .mapToDouble(Result.Second::share)
                            .average()
                            .orElse(1);
            double lowest =
                    seconds.subList(fault, seconds.size()).stream()
                            .mapToDouble(Result.Second::share)
                            .min()
                            .orElse(1);
            return new Recovery(back(seconds, whole, before), back(seconds, fault, before), lowest);
        }

        private static double back(List<Result.Second> seconds, int from, double before) {
            int good = 0;
            for (int i = from; i < seconds.size(); i++) {
                good = seconds.get(i).share() >= BACK * before ? good + 1 : 0;
                if (good == BACK_SECONDS) {
                    return i - BACK_SECONDS + 1.0 - from;
                }
            }
            return -1;
        }
    }
}
