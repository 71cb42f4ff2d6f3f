package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.Test;

class CheckPacingTest {
    private static final InstanceId A = new InstanceId("a");
    private static final InstanceId B = new InstanceId("b");

    private final CheckPacing pacing = new CheckPacing();

    @Test
    void anEngineIsCheckedOnceInAnIntervalHoweverOftenItIsDue() {
        long later = CheckPacing.INTERVAL.toNanos();
        assertThat(pacing.due(A, 0), is(true));
        assertThat(pacing.due(A, later - 1), is(false));
        assertThat(pacing.due(B, later - 1), is(true));
        assertThat(pacing.due(A, later), is(true));
    }
}
