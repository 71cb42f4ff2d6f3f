package hyssopturn.bench;

import java.time.Duration;
import java.util.Optional;

/**
 * One thing to measure.
 *
 * @param name its name
 * @param about what it shows
 * @param ratio offered work over the bound
 * @param length time over which requests arrive
 * @param burst how many times more arrive during the burst, 1 for no burst
 * @param flood true if one account sends far more than its share
 * @param slowKind how many times slower every third engine is, 1 for alike ones
 * @param reportLag how late load reports are
 * @param fault what breaks
 */
record Scenario(
        String name,
        String about,
        double ratio,
        Duration length,
        double burst,
        boolean flood,
        double slowKind,
        Duration reportLag,
        Optional<Fault> fault) {
    /** Arrivals before this are not measured. */
    static final Duration WARM_UP = Duration.ofSeconds(15);

    static final Duration BURST_FROM = Duration.ofSeconds(30);
    static final Duration BURST_TO = Duration.ofSeconds(40);
    private static final Duration LENGTH = Duration.ofSeconds(60);
    private static final Duration LAG = Duration.ofMillis(500);

    static Scenario steady(String name, double ratio, String about) {
        return new Scenario(name, about, ratio, LENGTH, 1, false, 1, LAG, Optional.empty());
    }

    Scenario withBurst(double factor) {
        return new Scenario(name, about, ratio, length, factor, flood, slowKind, reportLag, fault);
    }

    Scenario withFlood(boolean value) {
        return new Scenario(name, about, ratio, length, burst, value, slowKind, reportLag, fault);
    }

    Scenario withSlowKind(double factor) {
        return new Scenario(name, about, ratio, length, burst, flood, factor, reportLag, fault);
    }

    Scenario withReportLag(Duration lag) {
        return new Scenario(name, about, ratio, length, burst, flood, slowKind, lag, fault);
    }

    Scenario withFault(Fault value) {
        Optional<Fault> some = Optional.of(value);
        return new Scenario(name, about, ratio, length, burst, flood, slowKind, reportLag, some);
    }

    Scenario lasting(Duration span) {
        return new Scenario(name, about, ratio, span, burst, flood, slowKind, reportLag, fault);
    }
}
