package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Requests that still run when the process of their node exits. */
class RelayExitTest {
    private static final String EVENT = "id: 0\ndata: t0\n\n";

    private final RelayHarness harness = new RelayHarness();

    @AfterEach
    void close() {
        harness.close();
    }

    @Test
    void streamThatTheExitCutsOffIsLoggedAsBroken() {
        harness.engine("e1", r -> RelayHarness.signed(r).setChunked(true).write(EVENT));
        harness.afterFirstEvent(() -> CompletableFuture.runAsync(harness::endRemaining));
        RelayHarness.Answer answer = harness.call("/write/x", Map.of());
        assertThat(answer.body(), equalTo(EVENT));
        assertThat(answer.complete(), is(false));
        assertThat(harness.outcomes(), contains("broken"));
    }

    @Test
    void requestThatHasNoAnswerYetIsAnsweredTruthfully() {
        harness.service("s1", r -> CompletableFuture.runAsync(harness::endRemaining));
        assertThat(harness.call("/book/x", Map.of()).status(), equalTo(502));
        assertThat(harness.outcomes(), contains("in-doubt"));
    }
}
