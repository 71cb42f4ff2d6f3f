package hyssopturn.bench;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.standin.EngineProfile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The engines of a scenario, and what they can do at best. */
final class Fleet {
    static final Duration DELAY = Duration.ofNanos(250_000);
    private static final Duration BASE = Duration.ofMillis(4);
    private static final Duration PER_TOKEN = Duration.ofNanos(2_500_000);
    private static final int MAX_BATCH_TOKENS = 2_048;
    private static final long KV_TOKENS = 200_000;
    private static final int PREFIXES = 64;
    private static final Duration LOAD_PER_LAYER = Duration.ofMillis(200);
    private static final int FIRST_PORT = 10_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Scenario scenario;
    private final List<Engine> engines = new ArrayList<>();

    /**
     * One engine.
     *
     * @param id its name
     * @param address where it listens
     * @param index its number
     * @param zone number of its zone
     * @param stage number of the layer range that it holds
     * @param profile how fast it is
     */
    record Engine(
            InstanceId id, Address address, int index, int zone, int stage, EngineProfile profile) {
        LayerRange layers() {
            int width = Site.LAYERS / Site.STAGES;
            return new LayerRange(stage * width, (stage + 1) * width);
        }
    }

    Fleet(Site site, Scenario scenario) {
        this.scenario = scenario;
        EngineProfile usual =
                new EngineProfile(
                        "a10",
                        BASE,
                        PER_TOKEN,
                        MAX_BATCH_TOKENS,
                        KV_TOKENS,
                        PREFIXES,
                        scenario.reportLag(),
                        LOAD_PER_LAYER);
        for (int i = 0; i < site.engines(); i++) {
            int stage = i % Site.STAGES;
            int copy = i / Site.STAGES;
            boolean slow = scenario.slowKind() > 1 && copy % 3 == 0;
            engines.add(
                    new Engine(
                            new InstanceId("engine-%02d".formatted(i)),
                            new Address("10.0.0.1", FIRST_PORT + i),
                            i,
                            copy % site.zones().size(),
                            stage,
                            slow ? slow(usual) : usual));
        }
    }

    private EngineProfile slow(EngineProfile usual) {
        EngineProfile slower = usual.slower(scenario.slowKind());
        return new EngineProfile(
                "t4",
                slower.base(),
                slower.perToken(),
                slower.maxBatchTokens(),
                slower.kvTokens(),
                slower.prefixes(),
                slower.reportLag(),
                slower.loadPerLayer());
    }

    List<Engine> engines() {
        return engines;
    }

    /** Tells whether an engine is gone at some time. */
    boolean lost(Engine engine, Duration at) {
        return scenario.fault().filter(f -> during(f, at)).filter(f -> hits(f, engine)).isPresent();
    }

    private static boolean during(Fault fault, Duration at) {
        return at.compareTo(fault.from()) >= 0 && at.compareTo(fault.to()) < 0;
    }

    private static boolean hits(Fault fault, Engine engine) {
        return switch (fault) {
            case Fault.ZoneLost lost -> engine.zone() == lost.zone();
            case Fault.EnginesLost lost -> engine.index() / Site.STAGES % lost.every() == 0;
            case Fault.LinkSlowed slowed -> false;
            case Fault.PlatformDown down -> false;
            case Fault.NodesReplaced replaced -> false;
        };
    }

    /** Returns the delay of the link to an engine at some time. */
    Duration delay(Engine engine, Duration at) {
        return scenario.fault().filter(f -> during(f, at)).stream()
                .map(f -> f instanceof Fault.LinkSlowed s && s.zone() == engine.zone() ? s : null)
                .filter(s -> s != null)
                .map(s -> DELAY.multipliedBy(s.factor()))
                .findFirst()
                .orElse(DELAY);
    }

    /**
     * Computes the most work that can be done while every request keeps the time between tokens, in
     * units of one generated token a second at each stage.
     *
     * <p>With the time between tokens split evenly over the stages, an engine runs a batch in each
     * part; the stage that can do least bounds all.
     */
    double capacity(Duration between, Duration at) {
        double least = Double.POSITIVE_INFINITY;
        for (int stage = 0; stage < Site.STAGES; stage++) {
            double sum = 0;
            for (Engine engine : engines) {
                if (engine.stage() == stage && !lost(engine, at)) {
                    sum += rate(engine, between, delay(engine, at));
                }
            }
            least = Math.min(least, sum);
        }
        return least;
    }

    private static double rate(Engine engine, Duration between, Duration delay) {
        double links = 2.0 * delay.toNanos() + 2.0 * (Site.STAGES - 1) * DELAY.toNanos();
        double cycle = (between.toNanos() - links) / Site.STAGES;
        double tokens =
                (cycle - engine.profile().base().toNanos()) / engine.profile().perToken().toNanos();
        return tokens < 1 ? 0 : tokens / cycle * NANOS_PER_SECOND;
    }
}
