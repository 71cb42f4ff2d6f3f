package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

import java.time.Duration;

class StreamPaceTest {
    private static final Duration MIN_WAIT = Duration.ofMillis(55);

    private final StreamPace pace = new StreamPace();

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private void events(int count, long millis) {
        for (int i = 0; i < count; i++) {
            pace.recordGap(nanos(millis));
        }
    }

    @Test
    void aStreamOfALongChainIsNotOverdueAtItsAverageGap() {
        events(20, 70);
        assertThat(pace.overdue(nanos(100), MIN_WAIT, 2), is(false));
        assertThat(pace.overdue(nanos(150), MIN_WAIT, 2), is(true));
    }

    @Test
    void aFastStreamIsNotOverdueBeforeTheMinimumWait() {
        events(20, 10);
        assertThat(pace.overdue(nanos(55), MIN_WAIT, 2), is(false));
        assertThat(pace.overdue(nanos(56), MIN_WAIT, 2), is(true));
    }

    @Test
    void oneLongPauseDoesNotDelayTheDetectionOfTheNextFault() {
        events(20, 30);
        events(1, 5_000);
        assertThat(pace.overdue(nanos(200), MIN_WAIT, 2), is(true));
    }
}
