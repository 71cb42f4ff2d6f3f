package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.Optional;

class LoopLagTest {
    private static final Duration TICK = Duration.ofMillis(10);

    private final LoopLag lag = new LoopLag();

    private static long at(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    @Test
    void aLoopThatTicksOnTimeIsReportedOnTime() {
        for (int millis = 0; millis < 1_000; millis += 10) {
            lag.tick(at(millis), TICK);
            assertThat(lag.onTime(at(millis + 5)), is(true));
        }
    }

    @Test
    void anOverdueTickIsDetectedBeforeItRuns() {
        lag.tick(at(0), TICK);
        assertThat(lag.onTime(at(40)), is(true));
        assertThat(lag.onTime(at(41)), is(false));
    }

    @Test
    void aLoopIsNotOnTimeForAPeriodAfterADelay() {
        lag.tick(at(0), TICK);
        lag.tick(at(300), TICK);
        for (int millis = 310; millis < 700; millis += 10) {
            lag.tick(at(millis), TICK);
            assertThat(lag.onTime(at(millis)), is(false));
        }
        lag.tick(at(700), TICK);
        assertThat(lag.onTime(at(700)), is(true));
    }

    @Test
    void onlyTheFirstOfSeveralDelaysIsReported() {
        assertThat(lag.tick(at(0), TICK), is(Optional.empty()));
        assertThat(lag.tick(at(300), TICK), is(Optional.of(Duration.ofMillis(290))));
        assertThat(lag.tick(at(400), TICK), is(Optional.empty()));
        lag.tick(at(410), TICK);
        for (int millis = 420; millis <= 900; millis += 10) {
            lag.tick(at(millis), TICK);
        }
        assertThat(lag.tick(at(1_000), TICK), is(Optional.of(Duration.ofMillis(90))));
    }
}
