package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;

class EventWaitTest {
    private static final RelaySettings SETTINGS =
            new RelaySettings(
                    "a",
                    Duration.ofMillis(300),
                    Duration.ofMillis(150),
                    Duration.ofMillis(55),
                    Duration.ofMillis(250),
                    Duration.ofMillis(120),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    true,
                    true);

    private final EventWait wait = new EventWait(SETTINGS, new StreamPace());

    private static long at(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    @Nested
    class FirstEvent {
        @Test
        void isOverdueAfterTheFirstEventStallTime() {
            wait.attemptStarted(at(1_000));
            assertThat(wait.firstOverdue(at(1_249)), is(false));
            assertThat(wait.firstOverdue(at(1_250)), is(true));
        }

        @Test
        void switchIsDueBeforeTheCallerGivesUpAndThenAtIntervals() {
            wait.attemptStarted(0);
            assertThat(wait.switchDue(at(1_199)), is(false));
            assertThat(wait.switchDue(at(1_200)), is(true));
            assertThat(wait.switchDue(at(1_399)), is(false));
            assertThat(wait.switchDue(at(1_400)), is(true));
        }

        @Test
        void waitRestartsWithTheNextChain() {
            wait.attemptStarted(0);
            wait.delivered(at(50));
            wait.attemptStarted(at(2_000));
            assertThat(wait.begun(), is(false));
            assertThat(wait.switchDue(at(3_199)), is(false));
            assertThat(wait.switchDue(at(3_200)), is(true));
        }
    }

    @Nested
    class FurtherEvent {
        @Test
        void isNeverTreatedAsTheFirstOne() {
            wait.attemptStarted(0);
            wait.delivered(at(50));
            assertThat(wait.firstOverdue(at(5_000)), is(false));
            assertThat(wait.switchDue(at(5_000)), is(false));
        }

        @Test
        void livenessCheckIsDueBeforeTheStallQuery() {
            wait.attemptStarted(0);
            wait.delivered(at(50));
            assertThat(wait.checkDue(at(50 + 56)), is(true));
            assertThat(wait.queryDue(at(50 + 120)), is(false));
            assertThat(wait.queryDue(at(50 + 121)), is(true));
            wait.markQueried(at(50 + 121));
            assertThat(wait.queryDue(at(50 + 200)), is(false));
        }
    }

    @Nested
    class SearchForAReplacement {
        @Test
        void isDueAtOnceAndThenLessAndLessOften() {
            wait.attemptStarted(0);
            assertThat(wait.searchDue(0), is(true));
            assertThat(wait.searchedInVain(), is(false));
            long searched = 0;
            for (long millis : new long[] {200, 400, 800, 800}) {
                wait.markNotReplaced(at(searched));
                searched += millis;
                assertThat(wait.searchDue(at(searched - 1)), is(false));
                assertThat(wait.searchDue(at(searched)), is(true));
                assertThat(wait.searchedInVain(), is(true));
            }
        }

        @Test
        void isDueAtOnceForTheNextChain() {
            wait.attemptStarted(0);
            wait.markNotReplaced(at(100));
            wait.attemptStarted(at(150));
            assertThat(wait.searchDue(at(150)), is(true));
        }

        @Test
        void startsOverInTheNextWaitButNotSooner() {
            wait.attemptStarted(0);
            wait.markNotReplaced(at(100));
            wait.markNotReplaced(at(300));
            wait.delivered(at(310));
            assertThat(wait.searchedInVain(), is(false));
            assertThat(wait.searchDue(at(699)), is(false));
            wait.markNotReplaced(at(700));
            assertThat(wait.searchDue(at(900)), is(true));
        }
    }
}
