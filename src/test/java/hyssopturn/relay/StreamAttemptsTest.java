package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.relay.StreamAttempts.AfterEnd;
import hyssopturn.relay.StreamAttempts.AfterFailure;
import hyssopturn.relay.StreamAttempts.Reaction;

import io.vertx.core.buffer.Buffer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.OptionalInt;
import java.util.OptionalLong;

class StreamAttemptsTest {
    private static final OptionalInt NONE = OptionalInt.empty();

    private final StreamAttempts attempts = new StreamAttempts(OptionalLong.empty());

    private static EventFramer.Event event(String text) {
        return new EventFramer().feed(Buffer.buffer(text)).getFirst();
    }

    private static EventFramer.Event event(long id) {
        return event("id: " + id + "\ndata: t\n\n");
    }

    private void assertDelivered(int attempt, long event, OptionalInt cancelled) {
        assertThat(attempts.event(attempt, event(event)), equalTo(new Reaction.Deliver(cancelled)));
    }

    @Nested
    class TheOnlyAttempt {
        private final int only = attempts.begin().id();

        @Test
        void deliversEachEventOnce() {
            assertDelivered(only, 0, NONE);
            assertThat(attempts.event(only, event(0)), instanceOf(Reaction.Skip.class));
            assertDelivered(only, 1, NONE);
            assertThat(attempts.lastDelivered(), equalTo(OptionalLong.of(1)));
        }

        @Test
        void failsIfAnEventIsMissingOrHasNoId() {
            assertDelivered(only, 0, NONE);
            assertThat(attempts.event(only, event(2)), instanceOf(Reaction.Fail.class));
            assertThat(attempts.event(only, event("data: t\n\n")), instanceOf(Reaction.Fail.class));
        }

        @Test
        void completesTheStream() {
            assertDelivered(only, 0, NONE);
            assertThat(attempts.end(only, false), equalTo(AfterEnd.COMPLETE));
            assertThat(attempts.open(only), is(false));
            assertThrows(IllegalStateException.class, attempts::begin);
        }

        @Test
        void isTornIfItEndsWithinAnEventOrBeforeOne() {
            assertThat(attempts.end(only, false), equalTo(AfterEnd.TORN));
            assertDelivered(only, 0, NONE);
            assertThat(attempts.end(only, true), equalTo(AfterEnd.TORN));
        }

        @Test
        void leavesNoneWhenItFails() {
            assertThat(attempts.fail(only), equalTo(AfterFailure.NONE_OPEN));
            assertThat(attempts.fail(only), equalTo(AfterFailure.IGNORED));
            assertThat(attempts.event(only, event(0)), instanceOf(Reaction.Ignore.class));
            assertThat(attempts.end(only, false), equalTo(AfterEnd.IGNORED));
        }

        @Test
        void isFollowedByOneThatContinuesAfterTheLastEvent() {
            assertDelivered(only, 0, NONE);
            assertDelivered(only, 1, NONE);
            attempts.fail(only);
            int next = attempts.begin().id();
            assertThat(attempts.event(next, event(1)), instanceOf(Reaction.Skip.class));
            assertDelivered(next, 2, NONE);
        }
    }

    @Nested
    class TwoAttempts {
        private int holder;
        private int beside;

        @BeforeEach
        void open() {
            holder = attempts.begin().id();
            assertDelivered(holder, 0, NONE);
            beside = attempts.begin().id();
        }

        @Test
        void goOnWithTheHolderIfItDeliversFirst() {
            assertDelivered(holder, 1, OptionalInt.of(beside));
            assertThat(attempts.event(beside, event(1)), instanceOf(Reaction.Ignore.class));
            assertThat(attempts.twoOpen(), is(false));
        }

        @Test
        void goOnWithTheOtherIfItDeliversFirst() {
            assertThat(attempts.event(beside, event(0)), instanceOf(Reaction.Skip.class));
            assertDelivered(beside, 1, OptionalInt.of(holder));
            assertThat(attempts.event(holder, event(1)), instanceOf(Reaction.Ignore.class));
            assertDelivered(beside, 2, NONE);
        }

        @Test
        void areNotDecidedByACommentOrARepeatedEvent() {
            for (int attempt : new int[] {holder, beside}) {
                assertThat(
                        attempts.event(attempt, event(": busy\n\n")),
                        instanceOf(Reaction.Skip.class));
                assertThat(attempts.event(attempt, event(0)), instanceOf(Reaction.Skip.class));
            }
            assertThat(attempts.twoOpen(), is(true));
        }

        @Test
        void goOnWithTheHolderIfTheOtherFails() {
            assertThat(attempts.fail(beside), equalTo(AfterFailure.OTHER_OPEN));
            assertThat(attempts.newest(), equalTo(OptionalInt.of(holder)));
            assertDelivered(holder, 1, NONE);
        }

        @Test
        void goOnWithTheOtherIfTheHolderFails() {
            assertThat(attempts.fail(holder), equalTo(AfterFailure.OTHER_OPEN));
            assertDelivered(beside, 1, NONE);
            assertThat(attempts.fail(beside), equalTo(AfterFailure.NONE_OPEN));
        }

        @Test
        void keepTheHolderWhenTheOtherIsReplaced() {
            assertThat(attempts.begin().cancelled(), equalTo(OptionalInt.of(beside)));
            assertThat(attempts.open(holder), is(true));
            assertThat(attempts.open(beside), is(false));
        }

        @Test
        void completeTheStreamWithTheOneThatHasTheLastEvent() {
            assertThat(attempts.end(beside, false), equalTo(AfterEnd.TORN));
            assertThat(attempts.end(holder, false), equalTo(AfterEnd.COMPLETE));
            assertThat(attempts.open(beside), is(false));
        }
    }
}
