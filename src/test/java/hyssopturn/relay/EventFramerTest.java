package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.buffer.Buffer;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;

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
