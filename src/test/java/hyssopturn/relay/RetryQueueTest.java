package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

class RetryQueueTest {
    private static final long INTERVAL = RetryQueue.SEARCH_INTERVAL.toNanos();
    private static final long LATE = Duration.ofSeconds(9).toNanos();

    private final RetryQueue queue = new RetryQueue();
    private final List<String> started = new ArrayList<>();
    private final List<String> searched = new ArrayList<>();
    private final List<String> expired = new ArrayList<>();
    private int budget = Integer.MAX_VALUE;
    private boolean chains = true;

    private final class Stream implements RetryQueue.Member {
        private final String name;

        Stream(String name) {
            this.name = name;
        }

        @Override
        public boolean begun() {
            return name.equals("begun");
        }

        @Override
        public boolean affordable() {
            return budget > 0;
        }

        @Override
        public boolean tryStart() {
            searched.add(name);
            if (chains) {
                budget--;
                started.add(name);
            }
            return chains;
        }

        @Override
        public void endWait() {
            expired.add(name);
        }
    }

    @Test
    void streamsWithoutAChainDoNotKeepAnotherFromItsSearch() {
        chains = false;
        for (int i = 0; i < 5 * RetryQueue.MAX_SEARCHES; i++) {
            queue.add(new Stream("stuck"), LATE - 1, LATE - 1, INTERVAL);
        }
        queue.add(new Stream("other"), LATE, LATE, INTERVAL);
        for (long now = 0; now <= 3 * INTERVAL; now += INTERVAL / 5) {
            queue.tick(now);
        }
        assertThat(searched.contains("other"), is(true));
    }

    @Test
    void startsThoseFirstWhoseCallersLeaveFirst() {
        queue.add(new Stream("late"), LATE, LATE, INTERVAL);
        queue.add(new Stream("early"), LATE - 1, LATE - 1, INTERVAL);
        queue.add(new Stream("late too"), LATE, LATE, INTERVAL);
        budget = 2;
        queue.tick(INTERVAL);
        assertThat(started, contains("early", "late"));
    }

    @Test
    void endsAWaitOnceItsTimeIsOver() {
        queue.add(new Stream("a"), LATE, LATE, INTERVAL);
        budget = 0;
        queue.tick(LATE - 1);
        assertThat(expired, empty());
        queue.tick(LATE);
        assertThat(expired, contains("a"));
        assertThat(queue.isEmpty(), is(true));
    }

    @Test
    void forgetsAStreamThatEnded() {
        Stream stream = new Stream("a");
        queue.add(stream, LATE, LATE, INTERVAL);
        queue.remove(stream);
        queue.tick(LATE);
        assertThat(started, empty());
        assertThat(expired, empty());
    }

    @Nested
    class WithoutChains {
        @Test
        void searchesForAFewStreamsInATick() {
            chains = false;
            for (int i = 0; i < 3 * RetryQueue.MAX_SEARCHES; i++) {
                queue.add(new Stream("s" + i), LATE, LATE, INTERVAL);
            }
            queue.tick(INTERVAL);
            assertThat(searched, hasSize(RetryQueue.MAX_SEARCHES));
            queue.tick(INTERVAL);
            queue.tick(INTERVAL);
            assertThat(searched.stream().distinct().count(), equalTo((long) searched.size()));
        }

        @Test
        void searchesAgainForAStreamAfterTheInterval() {
            chains = false;
            queue.add(new Stream("a"), LATE, LATE, INTERVAL);
            queue.tick(INTERVAL - 1);
            assertThat(searched, empty());
            queue.tick(INTERVAL);
            queue.tick(2 * INTERVAL - 1);
            assertThat(searched, hasSize(1));
            queue.tick(2 * INTERVAL);
            assertThat(searched, hasSize(2));
        }
    }

    @Test
    void aBegunStreamIsNotKeptFromItsSearchByManyNewOnes() {
        chains = false;
        for (int i = 0; i < 200; i++) {
            queue.add(new Stream("new"), LATE, LATE, INTERVAL);
        }
        for (long now = 0; now <= 10 * INTERVAL; now += INTERVAL / 5) {
            queue.tick(now);
        }
        long added = 10 * INTERVAL;
        queue.add(new Stream("begun"), LATE, LATE, added + INTERVAL);
        for (long now = added; now <= added + 3 * INTERVAL; now += INTERVAL / 5) {
            queue.tick(now);
        }
        assertThat(searched.contains("begun"), is(true));
    }

    @Test
    void searchesNoChainForAStreamThatTheBudgetDoesNotAllow() {
        budget = 0;
        queue.add(new Stream("a"), LATE, LATE, INTERVAL);
        queue.tick(INTERVAL);
        assertThat(searched, empty());
    }
}
