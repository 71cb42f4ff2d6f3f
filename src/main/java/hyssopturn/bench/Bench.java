package hyssopturn.bench;

import java.time.Duration;
import java.util.List;

/** Runs scenarios: every variant through the same schedule of arrivals and faults. */
public final class Bench {
    private static final String FLOODING = "account-0";
    private static final double POINTS = 100;

    private final Site site;
    private final long seed;

    private Bench(Site site, long seed) {
        this.site = site;
        this.seed = seed;
    }

    /**
     * Creates a bench.
     *
     * @param site {@code workshop} or {@code haven}
     * @param seed seed of all schedules
     * @return the bench
     */
    public static Bench of(String site, long seed) {
        return new Bench("haven".equals(site) ? Site.haven() : Site.workshop(), seed);
    }

    /**
     * Lists the scenarios.
     *
     * @return a line for each
     */
    public static List<String> scenarios() {
        return Scenarios.all().stream()
                .map(s -> "%-16s %s".formatted(s.name(), s.about()))
                .toList();
    }

    /**
     * Lists the names of the scenarios.
     *
     * @return the names
     */
    public static List<String> scenarioNames() {
        return Scenarios.all().stream().map(Scenario::name).toList();
    }

    /**
     * Lists the names of the variants.
     *
     * @return the names
     */
    public static List<String> variantNames() {
        return Variant.all().stream().map(Variant::name).toList();
    }

    /**
     * Tells whether there is a variant.
     *
     * @param name name of the variant
     * @return true if it can be run
     */
    public static boolean knows(String name) {
        return Variant.named(name).isPresent();
    }

    /**
     * Runs a scenario.
     *
     * @param name name of the scenario
     * @param variants names of the variants to run
     * @return figures of all variants
     */
    public Report run(String name, List<String> variants) {
        Scenario scenario = Scenarios.named(name).orElseThrow();
        Plan plan = new Plan(scenario);
        List<Result> results =
                variants.parallelStream()
                        .map(v -> Variant.named(v).orElseThrow())
                        .map(plan::measure)
                        .toList();
        return new Report(
                scenario.name(),
                scenario.about(),
                site.name(),
                seed,
                plan.arrivals.size(),
                plan.capacity,
                plan.bound.share(),
                results);
    }

    private final class Plan {
        private final Scenario scenario;
        private final Fleet fleet;
        private final double capacity;
        private final List<Arrival> arrivals;
        private final Bound bound;

        Plan(Scenario scenario) {
            this.scenario = scenario;
            fleet = new Fleet(site, scenario);
            Duration between = Duration.ofMillis(between());
            capacity = fleet.capacity(between, Duration.ZERO);
            arrivals = Arrivals.schedule(site, scenario, capacity, seed);
            bound = Bound.of(fleet, between, scenario.length(), arrivals);
        }

        private long between() {
            return site.loads().stream()
                    .mapToLong(l -> l instanceof Site.Prompts p ? p.betweenMillis() : 0)
                    .max()
                    .orElseThrow();
        }

        Result measure(Variant variant) {
            Run run = run(variant, arrivals);
            Summary summary = new Summary(scenario, bound, run.served());
            return summary.result(variant.name(), run.gauges(), othersCost(variant, summary));
        }

        private Run run(Variant variant, List<Arrival> schedule) {
            World world = new World(site, scenario, variant, fleet, seed);
            return Run.of(world, scenario, schedule);
        }

        private double othersCost(Variant variant, Summary flooded) {
            if (!scenario.flood()) {
                return 0;
            }
            List<Arrival> calm = arrivals.stream().filter(a -> !a.flooding()).toList();
            Summary without = new Summary(scenario, bound, run(variant, calm).served());
            return POINTS * (without.othersShare(FLOODING) - flooded.othersShare(FLOODING));
        }
    }
}
