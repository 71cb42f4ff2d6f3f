package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.relay.RetryBudget.AnswerState;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

class RetryBudgetTest {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double RATIO = 0.2;

    @Test
    void eachServiceHasItsOwnBudget() {
        RetryBudget budget = new RetryBudget(RATIO, WINDOW_NANOS, 3, 1);
        assertThat(budget.tryAcquire("a", AnswerState.NOT_STARTED, 0), is(true));
        assertThat(budget.tryAcquire("a", AnswerState.NOT_STARTED, 0), is(false));
        assertThat(budget.tryAcquire("b", AnswerState.NOT_STARTED, 0), is(true));
    }

    @Test
    void checkingWhetherARetryIsAllowedDoesNotUseTheBudget() {
        RetryBudget budget = new RetryBudget(RATIO, WINDOW_NANOS, 3, 1);
        assertThat(budget.allows("a", AnswerState.NOT_STARTED, 0), is(true));
        assertThat(budget.allows("a", AnswerState.NOT_STARTED, 0), is(true));
        assertThat(budget.tryAcquire("a", AnswerState.NOT_STARTED, 0), is(true));
        assertThat(budget.allows("a", AnswerState.NOT_STARTED, 0), is(false));
    }

    @Test
    void aPartIsReservedForStartedAnswers() {
        RetryBudget budget = new RetryBudget(RATIO, WINDOW_NANOS, 3, 1);
        assertThat(budget.tryAcquire("a", AnswerState.NOT_STARTED, 0), is(true));
        assertThat(budget.tryAcquire("a", AnswerState.NOT_STARTED, 0), is(false));
        assertThat(budget.tryAcquire("a", AnswerState.STARTED, 0), is(true));
    }

    @Nested
    class ReplacementsOfSilentAttempts {
        private final RetryBudget budget = new RetryBudget(RATIO, WINDOW_NANOS, 100, 1);

        private int acquireAll(AnswerState answerState) {
            int acquired = 0;
            while (budget.tryAcquire("a", answerState, 0)) {
                acquired++;
            }
            return acquired;
        }

        @Test
        void leaveHalfOfTheBudgetToAnswersThatFailed() {
            int replacements = acquireAll(AnswerState.SILENT);
            assertThat(acquireAll(AnswerState.STARTED), greaterThanOrEqualTo(replacements));
        }

        @Test
        void leaveAPartToRequestsThatFailedBeforeTheirAnswer() {
            acquireAll(AnswerState.SILENT);
            assertThat(acquireAll(AnswerState.NOT_STARTED), greaterThanOrEqualTo(1));
        }

        @Test
        void areNotMadeWithWhatStartedAnswersNeed() {
            acquireAll(AnswerState.NOT_STARTED);
            assertThat(acquireAll(AnswerState.SILENT), equalTo(0));
        }
    }

    @Test
    void theBudgetIsAvailableAgainAfterAWindow() {
        RetryBudget budget = new RetryBudget(RATIO, WINDOW_NANOS, 3, 1);
        budget.tryAcquire("a", AnswerState.NOT_STARTED, 0);
        assertThat(budget.tryAcquire("a", AnswerState.NOT_STARTED, WINDOW_NANOS / 2), is(false));
        assertThat(
                budget.tryAcquire("a", AnswerState.NOT_STARTED, WINDOW_NANOS + WINDOW_NANOS / 10),
                is(true));
    }

    @Nested
    class TheNextRetry {
        private final RetryBudget budget = new RetryBudget(RATIO, WINDOW_NANOS, 3, 1);

        @Test
        void isAllowedNowWhileTheBudgetLasts() {
            assertThat(budget.allows("a", AnswerState.STARTED, 7), is(true));
        }

        @Test
        void isAllowedOnceTheEarlierOnesHaveLeftTheWindow() {
            long now = WINDOW_NANOS / 3;
            while (budget.tryAcquire("a", AnswerState.STARTED, now)) {
                // each call uses the budget for one retry
            }
            long partNanos = WINDOW_NANOS / 20;
            long next = (now / partNanos + 21) * partNanos;
            assertThat(budget.allows("a", AnswerState.STARTED, next - 1), is(false));
            assertThat(budget.allows("a", AnswerState.STARTED, next), is(true));
        }

        @Test
        void isNeverAllowedByABudgetBelowOneRetry() {
            RetryBudget none = new RetryBudget(RATIO, WINDOW_NANOS, 0, 1);
            for (long now = 0; now < 3 * WINDOW_NANOS; now += WINDOW_NANOS / 2) {
                assertThat(none.allows("a", AnswerState.STARTED, now), is(false));
            }
        }
    }

    /** Sends bursts of requests that all fail to nodes that do not communicate with each other. */
    @Property(tries = 50)
    void allNodesTogetherStayWithinTheBudgetInAnyWindow(@ForAll Random random) {
        int nodes = 7;
        double fixed = 198;
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            budgets.add(new RetryBudget(RATIO, WINDOW_NANOS, fixed, 1.0 / nodes));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        while (now < 4 * WINDOW_NANOS) {
            RetryBudget node = budgets.get(random.nextInt(nodes));
            node.recordRequest("a", now);
            requests.add(now);
            while (node.tryAcquire("a", AnswerState.STARTED, now)) {
                retries.add(now);
            }
            now += random.nextLong(Duration.ofMillis(60).toNanos());
        }
        for (long end : retries) {
            long sent = retries.stream().filter(t -> t > end - WINDOW_NANOS && t <= end).count();
            // the operator counts the requests of this window or the previous one, the larger
            // number
            long current =
                    requests.stream().filter(t -> t > end - WINDOW_NANOS && t <= end).count();
            long previous =
                    requests.stream()
                            .filter(t -> t > end - 2 * WINDOW_NANOS && t <= end - WINDOW_NANOS)
                            .count();
            double allowed = RATIO * Math.max(current, previous) + fixed;
            assertThat((double) sent, lessThanOrEqualTo(allowed));
        }
        assertThat(retries.isEmpty(), equalTo(false));
    }
}
