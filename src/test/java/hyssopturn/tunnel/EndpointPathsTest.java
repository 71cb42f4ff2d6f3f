package hyssopturn.tunnel;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.Address;

import org.junit.jupiter.api.Test;

import java.time.Duration;

class EndpointPathsTest {
    private static final Address ONE = new Address("10.0.0.1", 80);
    private static final Address TWO = new Address("10.0.0.2", 80);
    private static final Address OTHER = new Address("10.0.0.3", 80);

    private final EndpointPaths paths = new EndpointPaths();
    private long now;

    private void pass(Duration time) {
        now += time.toNanos();
    }

    @Test
    void oneLostEndpointDoesNotSpeakForOthers() {
        paths.recordLost(ONE, now);
        assertThat(paths.lost(ONE, now), is(true));
        assertThat(paths.lost(OTHER, now), is(false));
    }

    @Test
    void severalLostEndpointsSpeakForAll() {
        pass(Duration.ofSeconds(1));
        paths.recordLost(ONE, now);
        paths.recordLost(TWO, now);
        assertThat(paths.lost(OTHER, now), is(true));
    }

    @Test
    void aReachedEndpointShowsThatNotAllAreLost() {
        pass(Duration.ofSeconds(1));
        paths.recordLost(ONE, now);
        paths.recordLost(TWO, now);
        pass(Duration.ofMillis(1));
        paths.recordReached(OTHER, now);
        assertThat(paths.lost(OTHER, now), is(false));
        assertThat(paths.lost(ONE, now), is(true));
    }

    @Test
    void aLossIsForgottenUnlessItIsSeenAgain() {
        pass(Duration.ofSeconds(1));
        paths.recordLost(ONE, now);
        paths.recordLost(TWO, now);
        pass(EndpointPaths.VALIDITY.plusMillis(1));
        assertThat(paths.lost(ONE, now), is(false));
    }

    @Test
    void trialsAreRare() {
        assertThat(paths.takeTrial(now), is(true));
        assertThat(paths.takeTrial(now), is(false));
        pass(EndpointPaths.TRIAL_INTERVAL);
        assertThat(paths.takeTrial(now), is(true));
    }

    @Test
    void anEndpointThatNobodyReachesIsNotAskedAboutAgainAtOnce() {
        paths.recordUnreachable(ONE, now);
        assertThat(paths.unreachable(ONE, now), is(true));
        pass(EndpointPaths.UNREACHABLE_VALIDITY.plusMillis(1));
        assertThat(paths.unreachable(ONE, now), is(false));
    }
}
