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
    private static final double ROOM = 100_000;
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
    void anEngineThatRefusedIsLeftAloneForAWhile() {
        load.refused(A1, 1_000);
        assertThat(load.full(A1, 1_000 + 3 * EngineLoad.FULL_EACH.toNanos() - 1), is(true));
        assertThat(load.full(A1, 1_000 + 3 * EngineLoad.FULL_EACH.toNanos()), is(false));
        assertThat(load.full(B1, 1_000), is(false));
    }

    @Test
    void anEngineThatRefusedSeemsFullForAWhile() {
        double before = mean(0);
        load.refused(A1, 0);
        assertThat(mean(0) - before, closeTo(1, 0.01));
        assertThat(
                mean(3 * EngineLoad.REFUSAL_MEMORY * EngineLoad.FULL_EACH.toNanos()) - before,
                closeTo(0, 0.01));
    }

    @Test
    void otherNodesAreTakenToHoldAsMuchAsThisOne() {
        double before = mean(0);
        load.add(CHAIN, 100);
        assertThat(load.zoneTokens(), equalTo(300.0));
        assertThat(mean(0) - before, closeTo(3 * 100 * 80 / ROOM, 0.01));
        load.sharers(18);
        assertThat(load.zoneTokens(), equalTo(1_800.0));
        load.remove(CHAIN, 100);
        assertThat(load.zoneTokens(), equalTo(0.0));
    }

    /** Mean of many estimates, each of which is drawn anew. */
    private double mean(long nowNanos) {
        double sum = 0;
        for (int i = 0; i < DRAWS; i++) {
            sum += load.use(A1, ROOM, 1_000, nowNanos);
        }
        return sum / DRAWS;
    }
}
