package hyssopturn.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;

class BoundTest {
    private static final Duration BETWEEN = Duration.ofMillis(200);
    private static final Site SITE = Site.workshop();

    private static double share(Scenario scenario) {
        Fleet fleet = new Fleet(SITE, scenario);
        double capacity = fleet.capacity(BETWEEN, Duration.ZERO);
        List<Arrival> arrivals = Arrivals.schedule(SITE, scenario, capacity, 4);
        return Bound.of(fleet, BETWEEN, scenario.length(), arrivals).share();
    }

    @Test
    void allWorkFitsUnderTheBound() {
        assertThat(share(Scenario.steady("half", 0.5, "")), is(closeTo(1, 1e-9)));
    }

    @Test
    void overloadLeavesTheShareThatCapacityAllows() {
        assertThat(share(Scenario.steady("twice", 2, "")), is(closeTo(0.5, 0.05)));
    }

    @Test
    void lostEnginesLowerIt() {
        Fault lost = new Fault.ZoneLost(0, Duration.ZERO, Duration.ofSeconds(60));
        Scenario scenario = Scenario.steady("lost", 1, "").withFault(lost);
        Fleet fleet = new Fleet(SITE, scenario);
        double whole = fleet.capacity(BETWEEN, Duration.ofSeconds(60));
        assertThat(fleet.capacity(BETWEEN, Duration.ZERO) / whole, is(lessThanOrEqualTo(0.7)));
    }

    @Nested
    class Schedules {
        @Test
        void areTheSameForTheSameSeed() {
            Scenario scenario = Scenario.steady("short", 0.5, "").lasting(Duration.ofSeconds(5));
            assertThat(
                    Arrivals.schedule(SITE, scenario, 1_000, 9),
                    is(Arrivals.schedule(SITE, scenario, 1_000, 9)));
        }

        @Test
        void ofOthersDoNotChangeWithAFlood() {
            Scenario scenario = Scenario.steady("short", 0.5, "").lasting(Duration.ofSeconds(5));
            List<Arrival> flooded =
                    Arrivals.schedule(SITE, scenario.withFlood(true), 1_000, 9).stream()
                            .filter(a -> !a.flooding())
                            .toList();
            assertThat(flooded, is(Arrivals.schedule(SITE, scenario, 1_000, 9)));
        }
    }
}
