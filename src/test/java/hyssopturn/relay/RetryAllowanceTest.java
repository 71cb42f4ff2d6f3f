package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.relay.RetryAllowance.Need;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

class RetryAllowanceTest {
    private static final long WINDOW = Duration.ofSeconds(10).toNanos();
    private static final double RATIO = 0.2;

    @Test
    void servicesHaveAllowancesOfTheirOwn() {
        RetryAllowance allowance = new RetryAllowance(RATIO, WINDOW, 3, 1);
        assertThat(allowance.retry("a", Need.NEW, 0), is(true));
        assertThat(allowance.retry("a", Need.NEW, 0), is(false));
        assertThat(allowance.retry("b", Need.NEW, 0), is(true));
    }

    @Test
    void askingWhetherARetryIsAllowedCountsNothing() {
        RetryAllowance allowance = new RetryAllowance(RATIO, WINDOW, 3, 1);
        assertThat(allowance.allows("a", Need.NEW, 0), is(true));
        assertThat(allowance.allows("a", Need.NEW, 0), is(true));
        assertThat(allowance.retry("a", Need.NEW, 0), is(true));
        assertThat(allowance.allows("a", Need.NEW, 0), is(false));
    }

    @Test
    void aPartIsKeptForAnswersThatHaveBegun() {
        RetryAllowance allowance = new RetryAllowance(RATIO, WINDOW, 3, 1);
        assertThat(allowance.retry("a", Need.NEW, 0), is(true));
        assertThat(allowance.retry("a", Need.NEW, 0), is(false));
        assertThat(allowance.retry("a", Need.BEGUN, 0), is(true));
    }

    @Test
    void theAllowanceComesBackAfterAWindow() {
        RetryAllowance allowance = new RetryAllowance(RATIO, WINDOW, 3, 1);
        allowance.retry("a", Need.NEW, 0);
        assertThat(allowance.retry("a", Need.NEW, WINDOW / 2), is(false));
        assertThat(allowance.retry("a", Need.NEW, WINDOW + WINDOW / 10), is(true));
    }

    /** Plays bursts of requests that all fail, at nodes that do not know of each other. */
    @Property(tries = 50)
    void allNodesTogetherKeepToTheBudgetInAnyWindow(@ForAll Random random) {
        int nodes = 7;
        double fixed = 198;
        List<RetryAllowance> allowances = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            allowances.add(new RetryAllowance(RATIO, WINDOW, fixed, 1.0 / nodes));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        while (now < 4 * WINDOW) {
            RetryAllowance node = allowances.get(random.nextInt(nodes));
            node.request("a", now);
            requests.add(now);
            while (node.retry("a", Need.BEGUN, now)) {
                retries.add(now);
            }
            now += random.nextLong(Duration.ofMillis(60).toNanos());
        }
        for (long end : retries) {
            long sent = retries.stream().filter(t -> t > end - WINDOW && t <= end).count();
            // the operator counts the requests of this window or the one before, whichever is more
            long asked = requests.stream().filter(t -> t > end - WINDOW && t <= end).count();
            long before =
                    requests.stream()
                            .filter(t -> t > end - 2 * WINDOW && t <= end - WINDOW)
                            .count();
            double allowed = RATIO * Math.max(asked, before) + fixed;
            assertThat((double) sent, lessThanOrEqualTo(allowed));
        }
        assertThat(retries.isEmpty(), equalTo(false));
    }
}
