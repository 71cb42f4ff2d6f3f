package hyssopturn.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.Bytes;
import hyssopturn.port.LogPage;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.VirtualClock;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

class LogFollowerTest {
    private static final String STREAM = "s";
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(2);

    private final VirtualClock clock = new VirtualClock(0);
    private final MemoryLog log = new MemoryLog(clock);
    private final List<Long> offsets = new ArrayList<>();
    private final List<LogPage> pages = new ArrayList<>();
    private final LogFollower follower = new LogFollower(log, STREAM, clock, this::receive);

    private void receive(LogPage page) {
        pages.add(page);
        page.records().forEach(r -> offsets.add(r.offset()));
    }

    private void append() {
        log.append(STREAM, Bytes.utf8("x"));
    }

    @BeforeEach
    void start() {
        follower.start();
    }

    @Nested
    class AfterAnOutage {
        @Test
        void resumesReadingWithinTwoSeconds() {
            append();
            clock.advance(Duration.ofSeconds(1));
            log.down(true);
            clock.advance(Duration.ofMinutes(5));
            assertThat(follower.healthy(), is(false));
            log.down(false);
            append();
            clock.advance(RECOVERY_TIME);
            assertThat(follower.healthy(), is(true));
            assertThat(offsets, contains(1L, 2L));
        }
    }

    @Nested
    class UnansweredRead {
        @Test
        void isAbandonedAndItsLateAnswerIgnored() {
            log.loseReads(1);
            clock.advance(Duration.ofSeconds(3));
            append();
            append();
            clock.advance(Duration.ofSeconds(3));
            assertThat(offsets, contains(1L, 2L));
        }

        @Test
        void isAbandonedWhenTheLogIsSlow() {
            log.latency(Duration.ofSeconds(10));
            clock.advance(Duration.ofSeconds(9));
            log.latency(Duration.ZERO);
            append();
            clock.advance(Duration.ofSeconds(30));
            assertThat(offsets, contains(1L));
        }
    }

    @Nested
    class Truncation {
        @Test
        void isVisibleInTheNextPage() {
            append();
            clock.advance(Duration.ofSeconds(1));
            log.down(true);
            clock.advance(Duration.ofSeconds(5));
            log.down(false);
            append();
            append();
            log.truncate(STREAM, 3);
            clock.advance(RECOVERY_TIME);
            assertThat(offsets, contains(1L, 3L));
            assertThat(pages.getLast().first(), is(3L));
        }
    }

    @Nested
    class Stop {
        @Test
        void endsTheDeliveryOfPages() {
            clock.advance(Duration.ofSeconds(1));
            follower.stop();
            append();
            clock.advance(Duration.ofSeconds(10));
            assertThat(offsets, is(List.of()));
        }
    }
}
