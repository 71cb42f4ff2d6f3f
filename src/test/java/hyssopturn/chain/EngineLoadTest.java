package hyssopturn.chain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;

import org.junit.jupiter.api.Test;

import java.util.List;

class EngineLoadTest {
    private static final InstanceId A1 = new InstanceId("a1");
    private static final InstanceId B1 = new InstanceId("b1");
    private static final EngineChain CHAIN =
            new EngineChain(
                    List.of(
                            new Hop(
                                    Engines.holding("a1", "a", Engines.ROOMY, 0, 80),
                                    new LayerRange(0, 80))));

    private final EngineLoad load = new EngineLoad(3);

    @Test
    void anEngineThatRefusedIsLeftAloneForAWhile() {
        load.refused(A1, 1_000);
        assertThat(load.full(A1, 1_000 + EngineLoad.FULL.toNanos() - 1), is(true));
        assertThat(load.full(A1, 1_000 + EngineLoad.FULL.toNanos()), is(false));
        assertThat(load.full(B1, 1_000), is(false));
    }

    @Test
    void aVisitorExpectsAsMuchLoadInAnotherZoneAsInItsOwn() {
        load.add(CHAIN, 100);
        assertThat(load.tokensAsVisitor(B1), equalTo(300L));
        assertThat(load.tokensAsVisitor(A1), equalTo(600L));
        load.remove(CHAIN, 100);
        assertThat(load.tokensAsVisitor(A1), equalTo(0L));
    }
}
