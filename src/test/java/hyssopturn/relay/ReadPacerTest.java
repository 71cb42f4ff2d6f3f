package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.standin.VirtualClock;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;

class ReadPacerTest {
    private final VirtualClock clock = new VirtualClock(0);
    private final Message message = new Message();
    private final ReadPacer pacer = new ReadPacer(clock, message);

    /** Guards against a sender of tiny pieces that occupies the event loop. */
    @Test
    void smallPiecesAreReadAtALimitedRate() {
        Duration span = Duration.ofSeconds(10);
        int read = 0;
        while (clock.nanos() < span.toNanos()) {
            if (message.paused) {
                clock.advance(Duration.ofMillis(1));
            } else {
                pacer.read(1, 1);
                read++;
            }
        }
        long most = ReadPacer.BURST_PIECES + ReadPacer.PIECES_PER_SECOND * (span.toSeconds() + 1);
        assertThat((long) read, lessThanOrEqualTo(most));
    }

    @Test
    void largePiecesAreNotCounted() {
        for (int i = 0; i < 100 * ReadPacer.BURST_PIECES; i++) {
            pacer.read(1, ReadPacer.SMALL_BYTES);
        }
        assertThat(message.paused, is(false));
    }

    @Test
    void usualStreamIsNeverPaused() {
        for (int i = 0; i < 100 * ReadPacer.BURST_PIECES; i++) {
            pacer.read(2, 65);
            clock.advance(Duration.ofMillis(1));
        }
        assertThat(message.pauses, equalTo(0));
    }

    @Nested
    class BesideAPauseForTheReceiver {
        @Test
        void theMessageIsResumedOnlyWhenBothAreOver() {
            pacer.pause();
            exceedTheRate();
            pacer.resume();
            assertThat(message.paused, is(true));
            clock.advance(Duration.ofSeconds(1));
            assertThat(message.paused, is(false));
        }

        @Test
        void theEndOfTheOtherPauseDoesNotResumeTheMessage() {
            exceedTheRate();
            pacer.pause();
            clock.advance(Duration.ofSeconds(1));
            assertThat(message.paused, is(true));
            pacer.resume();
            assertThat(message.paused, is(false));
        }

        private void exceedTheRate() {
            pacer.read(2 * ReadPacer.BURST_PIECES, 0);
        }
    }

    /** A message that records whether it is paused. */
    private static final class Message implements ReadStream<Buffer> {
        private boolean paused;
        private int pauses;

        @Override
        public ReadStream<Buffer> exceptionHandler(Handler<Throwable> handler) {
            return this;
        }

        @Override
        public ReadStream<Buffer> handler(Handler<Buffer> handler) {
            return this;
        }

        @Override
        public ReadStream<Buffer> pause() {
            paused = true;
            pauses++;
            return this;
        }

        @Override
        public ReadStream<Buffer> resume() {
            paused = false;
            return this;
        }

        @Override
        public ReadStream<Buffer> fetch(long amount) {
            return this;
        }

        @Override
        public ReadStream<Buffer> endHandler(Handler<Void> handler) {
            return this;
        }
    }
}
