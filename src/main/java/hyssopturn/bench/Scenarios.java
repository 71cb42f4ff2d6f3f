package hyssopturn.bench;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** All scenarios. */
final class Scenarios {
    private static final Duration FROM = Duration.ofSeconds(30);
    private static final Duration TO = Duration.ofSeconds(45);
    private static final double MIDDLING = 0.6;

    private Scenarios() {}

    static List<Scenario> all() {
        return List.of(
                Scenario.steady("steady-0.7", 0.7, "work well under the bound"),
                Scenario.steady("steady-0.95", 0.95, "work just under the bound"),
                Scenario.steady("steady-1.3", 1.3, "more work than the bound"),
                Scenario.steady("burst", 0.5, "four times the work for 10 s").withBurst(4),
                Scenario.steady("flood", MIDDLING, "one account sends the bound by itself")
                        .withFlood(true),
                Scenario.steady("mixed", 0.7, "every third engine is four times slower")
                        .withSlowKind(4),
                Scenario.steady("late-reports", 0.7, "load reports come 3 s late")
                        .withReportLag(Duration.ofSeconds(3)),
                Scenario.steady("zone-lost", MIDDLING, "one zone is gone for 15 s")
                        .withFault(new Fault.ZoneLost(1, FROM, TO)),
                Scenario.steady("engines-lost", MIDDLING, "a third of the engines is gone for 15 s")
                        .withFault(new Fault.EnginesLost(3, FROM, TO)),
                Scenario.steady("link-slow", MIDDLING, "links to one zone are 100 times slower")
                        .withFault(new Fault.LinkSlowed(1, 100, FROM, TO)),
                Scenario.steady("platform-down", 0.3, "the platform is down for 5 min")
                        .lasting(Duration.ofSeconds(350))
                        .withFault(
                                new Fault.PlatformDown(
                                        Duration.ofSeconds(25), Duration.ofSeconds(325))),
                Scenario.steady("nodes-replaced", MIDDLING, "all nodes are replaced in turn")
                        .withFault(new Fault.NodesReplaced(FROM, Duration.ofSeconds(51))));
    }

    static Optional<Scenario> named(String name) {
        return all().stream().filter(s -> s.name().equals(name)).findFirst();
    }
}
