package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

import java.time.Duration;

class StreamPaceTest {
    private static final Duration LEAST = Duration.ofMillis(55);

    private final StreamPace pace = new StreamPace();

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private void events(int count, long millis) {
        for (int i = 0; i < count; i++) {
            pace.gap(nanos(millis));
        }
    }

    @Test
    void aStreamOfALongChainIsNotOverdueAtItsOwnPace() {
        events(20, 70);
        assertThat(pace.overdue(nanos(100), LEAST, 2), is(false));
        assertThat(pace.overdue(nanos(150), LEAST, 2), is(true));
    }

    @Test
    void aFastStreamIsNotOverdueBeforeTheLeastWait() {
        events(20, 10);
        assertThat(pace.overdue(nanos(55), LEAST, 2), is(false));
        assertThat(pace.overdue(nanos(56), LEAST, 2), is(true));
    }

    @Test
    void aPauseDoesNotHideTheNextFault() {
        events(20, 30);
        events(1, 5_000);
        assertThat(pace.overdue(nanos(200), LEAST, 2), is(true));
    }
}
