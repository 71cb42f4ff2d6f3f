package hyssopturn.relay;

import static hyssopturn.relay.StreamProgress.Action.DELIVER;
import static hyssopturn.relay.StreamProgress.Action.GAP;
import static hyssopturn.relay.StreamProgress.Action.SKIP;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

import java.util.OptionalLong;

class StreamProgressTest {
    private static OptionalLong id(long id) {
        return OptionalLong.of(id);
    }

    @Test
    void eventsThatTheCallerHasAreSkipped() {
        StreamProgress progress = new StreamProgress(id(4));
        assertThat(progress.advance(id(4)), equalTo(SKIP));
        assertThat(progress.advance(id(5)), equalTo(DELIVER));
        assertThat(progress.advance(id(5)), equalTo(SKIP));
    }

    @Test
    void anEventAfterAMissingOneIsAGap() {
        StreamProgress progress = new StreamProgress(OptionalLong.empty());
        assertThat(progress.advance(id(0)), equalTo(DELIVER));
        assertThat(progress.advance(id(2)), equalTo(GAP));
        assertThat(progress.last(), equalTo(id(0)));
    }
}
