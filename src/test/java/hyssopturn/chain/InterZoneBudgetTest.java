package hyssopturn.chain;

import static hyssopturn.chain.Engines.SPEC;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.List;

class InterZoneBudgetTest {
    private static final long PROMPT = 760;
    private static final long MILLI_NANOS = 1_000_000;
    private static final int STREAMS_PER_SECOND = 100;

    /**
     * Guards the links between zones against overload when all streams of a failed engine request a
     * reroute over two links at the same moment.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 73, 400})
    void reroutesOfAllNodesTogetherStayWithinTheLinkTime(int nodes) {
        List<InterZoneBudget> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            budgets.add(new InterZoneBudget(nodes));
        }
        double used = 0;
        int seconds = 60;
        for (int second = 0; second < seconds; second++) {
            for (int stream = 0; stream < STREAMS_PER_SECOND; stream++) {
                long now = second * 1_000L * MILLI_NANOS;
                if (budgets.get(stream % nodes).tryAcquire(2, PROMPT, SPEC, now)) {
                    used += 2 * InterZoneBudget.transferMillis(PROMPT, SPEC);
                }
            }
        }
        double oneReroute = 2 * InterZoneBudget.transferMillis(PROMPT, SPEC);
        double limit = (seconds + 5) * 1_000 + nodes * oneReroute;
        assertThat(used, is(both(greaterThan(0.0)).and(lessThanOrEqualTo(limit))));
    }

    @Test
    void aChainWithinOneZoneNeedsNoBudget() {
        InterZoneBudget budget = new InterZoneBudget(400);
        while (budget.tryAcquire(2, PROMPT, SPEC, 0)) {
            // empties the bucket
        }
        assertThat(budget.tryAcquire(0, PROMPT, SPEC, 0), is(true));
    }
}
