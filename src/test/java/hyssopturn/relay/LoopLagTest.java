package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

import java.time.Duration;

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
}
