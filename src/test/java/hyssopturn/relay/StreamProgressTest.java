package hyssopturn.relay;

import static hyssopturn.relay.StreamProgress.Step.DELIVER;
import static hyssopturn.relay.StreamProgress.Step.GAP;
import static hyssopturn.relay.StreamProgress.Step.SKIP;

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
        assertThat(progress.next(id(4)), equalTo(SKIP));
        assertThat(progress.next(id(5)), equalTo(DELIVER));
        assertThat(progress.next(id(5)), equalTo(SKIP));
    }

    @Test
    void aMissingEventIsNotPassedOver() {
        StreamProgress progress = new StreamProgress(OptionalLong.empty());
        assertThat(progress.next(id(0)), equalTo(DELIVER));
        assertThat(progress.next(id(2)), equalTo(GAP));
        assertThat(progress.last(), equalTo(id(0)));
    }
}
