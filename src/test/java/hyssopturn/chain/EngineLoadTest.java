package hyssopturn.chain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.SplittableRandom;

class EngineLoadTest {
    private static final InstanceId A1 = new InstanceId("a1");
    private static final double CAPACITY = 100_000;
    private static final int DRAWS = 10_000;
    private static final InstanceId B1 = new InstanceId("b1");
    private static final EngineChain CHAIN =
            new EngineChain(
                    List.of(
                            new Hop(
                                    Engines.holding("a1", "a", Engines.ROOMY, 0, 80),
                                    new LayerRange(0, 80))));

    private final EngineLoad load = new EngineLoad(new SplittableRandom(1), 3);

    @Test
    void anEngineThatRefusedIsAvoidedDuringItsBackoff() {
        load.recordRefusal(A1, 1_000);
        assertThat(
                load.recentlyRefused(A1, 1_000 + 3 * EngineLoad.BACKOFF_PER_NODE.toNanos() - 1),
                is(true));
        assertThat(
                load.recentlyRefused(A1, 1_000 + 3 * EngineLoad.BACKOFF_PER_NODE.toNanos()),
                is(false));
        assertThat(load.recentlyRefused(B1, 1_000), is(false));
    }

    @Test
    void aRefusalRaisesTheEstimatedUseForALimitedTime() {
        double before = mean(0);
        load.recordRefusal(A1, 0);
        assertThat(mean(0) - before, closeTo(1, 0.01));
        assertThat(
                mean(3 * EngineLoad.PENALTY_BACKOFFS * EngineLoad.BACKOFF_PER_NODE.toNanos())
                        - before,
                closeTo(0, 0.01));
    }

    @Test
    void otherNodesAreAssumedToHoldAsMuchAsThisNode() {
        double before = mean(0);
        load.add(CHAIN, 100);
        assertThat(load.zoneTokens(), equalTo(300.0));
        assertThat(mean(0) - before, closeTo(3 * 100 * 80 / CAPACITY, 0.01));
        load.nodesPerZone(18);
        assertThat(load.zoneTokens(), equalTo(1_800.0));
        load.remove(CHAIN, 100);
        assertThat(load.zoneTokens(), equalTo(0.0));
    }

    /** Returns the mean of many estimates, each with its own noise. */
    private double mean(long nowNanos) {
        double sum = 0;
        for (int i = 0; i < DRAWS; i++) {
            sum += load.estimateUse(A1, CAPACITY, 1_000, nowNanos);
        }
        return sum / DRAWS;
    }
}
