package hyssopturn.chain;

import static hyssopturn.chain.Engines.SPEC;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.List;

class PipeShareTest {
    private static final long PROMPT = 760;
    private static final long MILLI_NANOS = 1_000_000;
    private static final int STREAMS_A_SECOND = 100;

    /** All streams of an engine that failed ask for a detour over two pipes at the same moment. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 73, 400})
    void detoursOfAllNodesTogetherFitIntoThePipe(int nodes) {
        List<PipeShare> shares = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            shares.add(new PipeShare(nodes));
        }
        double used = 0;
        int seconds = 60;
        for (int second = 0; second < seconds; second++) {
            for (int stream = 0; stream < STREAMS_A_SECOND; stream++) {
                long now = second * 1_000L * MILLI_NANOS;
                if (shares.get(stream % nodes).take(2, PROMPT, SPEC, now)) {
                    used += 2 * PipeShare.transferMillis(PROMPT, SPEC);
                }
            }
        }
        double once = 2 * PipeShare.transferMillis(PROMPT, SPEC);
        double most = (seconds + 5) * 1_000 + nodes * once;
        assertThat(used, is(both(greaterThan(0.0)).and(lessThanOrEqualTo(most))));
    }

    @Test
    void aChainWithinOneZoneNeedsNone() {
        PipeShare share = new PipeShare(400);
        while (share.take(2, PROMPT, SPEC, 0)) {
            // uses the share up
        }
        assertThat(share.take(0, PROMPT, SPEC, 0), is(true));
    }
}
