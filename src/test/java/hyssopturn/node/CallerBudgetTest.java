package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Limits for callers that are derived from the process's own. */
class CallerBudgetTest {
    private static final CallerBudget DEFAULTS = new CallerBudget(25, 0, 0);

    /** Descriptors of the smallest machine, less those that a new process has open. */
    private static final DescriptorRoom DESCRIPTORS =
            new DescriptorRoom(2_069 - 50, 2_069 - 200 - 20);

    private static final int PROXY_CONNECTIONS = 1_000;

    @Test
    void theDefaultsAllowAThousandConnectionsWithRequestsOnTheSmallestMachine() {
        assertThat(DEFAULTS.connections(DESCRIPTORS), greaterThanOrEqualTo(PROXY_CONNECTIONS));
        int requests = (DEFAULTS.requests(DESCRIPTORS) - PROXY_CONNECTIONS) / 2;
        assertThat(requests, greaterThanOrEqualTo(300));
    }

    @Test
    void aSettingReplacesTheDerivedNumberOfConnections() {
        assertThat(new CallerBudget(25, 7, 0).connections(DESCRIPTORS), equalTo(7));
        assertThat(new CallerBudget(5, 7, 0).memoryBytes(1_000), equalTo(50L));
    }

    @Test
    void theSystemsTableTellsTheDescriptors() {
        String line = "Max open files            2069                 4096                 files ";
        assertThat(DescriptorRoom.softLimit(List.of("Limit", line)), equalTo(2_069L));
    }
}
