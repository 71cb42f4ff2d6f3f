package hyssopturn.metric;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import hyssopturn.metric.Attainment.Timing;
import hyssopturn.model.Target;

import org.junit.jupiter.api.Test;

import java.time.Duration;

class AttainmentTest {
    private static final Target TARGET =
            new Target.Stream(Duration.ofMillis(480), Duration.ofMillis(50));

    @Test
    void meetsTheTargetWithOneLateGapInTwenty() {
        assertThat(new Timing(Duration.ofMillis(480), 20, 1).meets(TARGET), is(true));
    }

    @Test
    void missesTheTargetWithTwoLateGapsInTwenty() {
        assertThat(new Timing(Duration.ofMillis(480), 20, 2).meets(TARGET), is(false));
    }

    @Test
    void missesTheTargetWhenTheFirstTokenIsLate() {
        assertThat(new Timing(Duration.ofMillis(481), 20, 0).meets(TARGET), is(false));
    }
}
