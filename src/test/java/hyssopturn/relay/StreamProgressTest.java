package hyssopturn.relay;

import static hyssopturn.relay.StreamProgress.Action.DELIVER;
import static hyssopturn.relay.StreamProgress.Action.GAP;
import static hyssopturn.relay.StreamProgress.Action.SKIP;
import static hyssopturn.relay.StreamProgress.Action.UNNUMBERED;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.buffer.Buffer;

import org.junit.jupiter.api.Test;

import java.util.OptionalLong;

class StreamProgressTest {
    private static OptionalLong id(long id) {
        return OptionalLong.of(id);
    }

    private static EventFramer.Event event(long id) {
        return event("id: " + id + "\ndata: t\n\n");
    }

    private static EventFramer.Event event(String text) {
        return new EventFramer().feed(Buffer.buffer(text)).getFirst();
    }

    @Test
    void eventsThatTheCallerHasAreSkipped() {
        StreamProgress progress = new StreamProgress(id(4));
        assertThat(progress.advance(event(4)), equalTo(SKIP));
        assertThat(progress.advance(event(5)), equalTo(DELIVER));
        assertThat(progress.advance(event(5)), equalTo(SKIP));
    }

    @Test
    void anEventAfterAMissingOneIsAGap() {
        StreamProgress progress = new StreamProgress(OptionalLong.empty());
        assertThat(progress.advance(event(0)), equalTo(DELIVER));
        assertThat(progress.advance(event(2)), equalTo(GAP));
        assertThat(progress.last(), equalTo(id(0)));
    }

    @Test
    void anAttemptThatStopsBeforeTheCallersLastEventIsNotUpToDate() {
        StreamProgress progress = new StreamProgress(OptionalLong.empty());
        progress.advance(event(0));
        progress.advance(event(1));
        progress = progress.next();
        assertThat(progress.upToDate(), equalTo(false));
        assertThat(progress.advance(event(0)), equalTo(SKIP));
        assertThat(progress.upToDate(), equalTo(false));
        assertThat(progress.advance(event(1)), equalTo(SKIP));
        assertThat(progress.upToDate(), equalTo(true));
        assertThat(progress.advance(event(2)), equalTo(DELIVER));
    }

    @Test
    void eventsWithoutAnIdAreNotDelivered() {
        StreamProgress progress = new StreamProgress(OptionalLong.empty());
        for (String text : new String[] {"data: t\n\n", "id: x\n\n", "id: -1\n\n"}) {
            assertThat(progress.advance(event(text)), equalTo(UNNUMBERED));
        }
    }

    @Test
    void commentsBeforeTheContinuationAreSkipped() {
        StreamProgress progress = new StreamProgress(OptionalLong.empty());
        assertThat(progress.advance(event(": a\n\n")), equalTo(DELIVER));
        progress.advance(event(0));
        assertThat(progress.advance(event(": a\n\n")), equalTo(DELIVER));
        progress = progress.next();
        assertThat(progress.advance(event(": a\n\n")), equalTo(SKIP));
    }
}
