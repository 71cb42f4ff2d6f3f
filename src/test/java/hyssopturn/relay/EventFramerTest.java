package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.buffer.Buffer;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.util.OptionalLong;
import java.util.Random;

class EventFramerTest {
    @Test
    void anIncompleteEventIsHeldBack() {
        EventFramer framer = new EventFramer();
        assertThat(framer.feed(Buffer.buffer("id: 0\ndata: a\n\nid: 1\nda")).size(), equalTo(1));
        assertThat(framer.incomplete(), is(true));
    }

    @Test
    void linesMayEndWithCarriageReturnAndNewline() {
        EventFramer framer = new EventFramer();
        var events = framer.feed(Buffer.buffer("id: 7\r\ndata: a\r\n\r\n"));
        assertThat(events.getFirst().id().orElseThrow(), equalTo(7L));
        assertThat(framer.incomplete(), is(false));
    }

    /** Guards against examining an event again with each piece that arrives of it. */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void costOfAnEventDoesNotGrowWithTheNumberOfItsPieces() {
        EventFramer framer = new EventFramer();
        Buffer piece = Buffer.buffer("z");
        for (int i = 0; i < EventFramer.MAX_EVENT_BYTES; i++) {
            assertThat(framer.feed(piece).size(), equalTo(0));
        }
        assertThat(framer.tooLong(), is(false));
        framer.feed(piece);
        assertThat(framer.tooLong(), is(true));
    }

    @Test
    void blockWithoutFieldsIsAComment() {
        EventFramer framer = new EventFramer();
        var events = framer.feed(Buffer.buffer(": a\n \n\nid: 1\n: b\n\n\n"));
        assertThat(
                events.stream().map(EventFramer.Event::comment).toList(),
                contains(true, false, true));
        assertThat(events.get(1).id().orElseThrow(), equalTo(1L));
    }

    @Test
    void idOfAnEventDoesNotApplyToTheNextOne() {
        EventFramer framer = new EventFramer();
        var events = framer.feed(Buffer.buffer("id: 1\nid: 2\n\ndata: b\n\nid: x\nid: 3\n\n"));
        assertThat(
                events.stream().map(EventFramer.Event::id).toList(),
                contains(OptionalLong.of(1), OptionalLong.empty(), OptionalLong.empty()));
    }

    @Property(tries = 200)
    void bytesArePreservedHoweverTheStreamIsSplit(@ForAll Random random) {
        StringBuilder all = new StringBuilder();
        for (int id = 0; id < 20; id++) {
            all.append("id: ").append(id).append("\ndata: ");
            all.append("x".repeat(random.nextInt(30))).append("\n\n");
        }
        EventFramer framer = new EventFramer();
        StringBuilder received = new StringBuilder();
        long next = 0;
        for (int begin = 0; begin < all.length(); ) {
            int end = Math.min(all.length(), begin + 1 + random.nextInt(40));
            for (var event : framer.feed(Buffer.buffer(all.substring(begin, end)))) {
                assertThat(event.id().orElseThrow(), equalTo(next++));
                received.append(event.bytes());
            }
            begin = end;
        }
        assertThat(received.toString(), equalTo(all.toString()));
        assertThat(framer.incomplete(), is(false));
    }
}
