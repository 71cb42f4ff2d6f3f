package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.Test;

import java.time.Duration;

class CheckPacingTest {
    private static final InstanceId A = new InstanceId("a");
    private static final InstanceId B = new InstanceId("b");

    private final CheckPacing pacing = new CheckPacing(() -> 1);

    @Test
    void anEngineIsCheckedAtMostOncePerInterval() {
        long interval = CheckPacing.MIN_INTERVAL.toNanos();
        assertThat(pacing.due(A, 0), is(true));
        assertThat(pacing.due(A, interval - 1), is(false));
        assertThat(pacing.due(B, interval - 1), is(true));
        assertThat(pacing.due(A, interval), is(true));
    }

    @Test
    void totalCheckRateOfAZoneDoesNotGrowWithTheNumberOfNodes() {
        int nodes = 18;
        int checks = 0;
        for (int node = 0; node < nodes; node++) {
            CheckPacing nodePacing = new CheckPacing(() -> nodes);
            for (long millis = 0; millis < 10_000; millis += 20) {
                checks += nodePacing.due(A, Duration.ofMillis(millis).toNanos()) ? 1 : 0;
            }
        }
        int perSecond = 1_000 / (int) CheckPacing.INTERVAL_PER_NODE.toMillis();
        assertThat(checks, lessThanOrEqualTo(10 * perSecond + nodes));
    }
}
