package hyssopturn.admit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.ClassName;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.function.BooleanSupplier;

class RetryBudgetTest {
    private static final ClassName LETTER = new ClassName("letter");
    private static final double TENTH = 0.1;

    private final RetryBudget budget = new RetryBudget();

    @Provide
    Arbitrary<List<Boolean>> histories() {
        return Arbitraries.of(true, false).list().ofMinSize(1).ofMaxSize(500);
    }

    @Property(tries = 100, seed = "13")
    void neverSpendsMoreThanATenthPlusTheInitialCredit(@ForAll("histories") List<Boolean> history) {
        RetryBudget fresh = new RetryBudget();
        int firstTries = 0;
        int retries = 0;
        for (boolean isFirst : history) {
            if (isFirst) {
                fresh.recordFirstTry(LETTER);
                firstTries++;
            } else if (fresh.tryRetry(LETTER, 0, 1)) {
                retries++;
            }
            assertThat(
                    (retries - 1) * RetryBudget.TRIES_PER_RETRY, is(lessThanOrEqualTo(firstTries)));
            assertThat(fresh.remaining(LETTER) >= 0, is(true));
        }
    }

    @Nested
    class RetryStorm {
        private static final int REQUESTS = 10_000;
        private static final int TRIES = 5;

        /** Sends requests whose every try times out; returns the number of calls made. */
        private int countCalls(BooleanSupplier retry) {
            int calls = 0;
            for (int i = 0; i < REQUESTS; i++) {
                budget.recordFirstTry(LETTER);
                calls++;
                for (int k = 1; k < TRIES && retry.getAsBoolean(); k++) {
                    calls++;
                }
            }
            return calls;
        }

        @Test
        void slowEndpointsGetAtMostATenthMoreCalls() {
            int calls = countCalls(() -> budget.tryRetry(LETTER, 0, 1));
            assertThat((double) calls, is(lessThanOrEqualTo(REQUESTS * (1 + TENTH) + 1)));
        }

        @Test
        void withoutABudgetSlowEndpointsGetMoreThanATenthMoreCalls() {
            double calls = countCalls(() -> true);
            assertThat(calls, is(greaterThan(REQUESTS * (1 + TENTH) + 1)));
        }
    }

    @Test
    void refusesARetryAfterTheDeadline() {
        assertThat(budget.tryRetry(LETTER, 5, 5), is(false));
        assertThat(budget.tryRetry(LETTER, 4, 5), is(true));
    }

    @Test
    void keepsClassesApart() {
        assertThat(budget.tryRetry(LETTER, 0, 1), is(true));
        assertThat(budget.tryRetry(LETTER, 0, 1), is(false));
        assertThat(budget.tryRetry(new ClassName("sheet"), 0, 1), is(true));
    }
}
