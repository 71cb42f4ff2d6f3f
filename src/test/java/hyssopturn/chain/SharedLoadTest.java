package hyssopturn.chain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SharedLoadTest {
    private static final int SECONDS = 8;

    /** Nodes that only know themselves fill some engines while others stay empty. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 61, 121, 300, 400})
    void enginesFillEvenlyBelowTheCapacity(int nodes) {
        SharedLoadSimulation zone = new SharedLoadSimulation(nodes, 11);
        zone.play(0.7, SECONDS);
        assertThat(zone.toString(), zone.busiestPart(), lessThanOrEqualTo(1.3));
    }

    /** Clients of busy nodes must not be refused while others' engines are free. */
    @ParameterizedTest
    @ValueSource(ints = {7, 61, 121, 300, 400})
    void theCapacityIsUsedAndNotExceededInAnOverload(int nodes) {
        SharedLoadSimulation zone = new SharedLoadSimulation(nodes, 12);
        zone.play(1.6, SECONDS);
        assertThat(zone.toString(), zone.mostUsed(), lessThanOrEqualTo(1.1));
        assertThat(zone.toString(), zone.meanUsed(), greaterThan(0.9));
    }

    /** Loads are exchanged from three nodes on; a single node goes on as before. */
    @Test
    void aSingleNodeUsesItsOwnEstimate() {
        SharedLoadSimulation zone = new SharedLoadSimulation(1, 12);
        zone.play(1.6, SECONDS);
        assertThat(zone.toString(), zone.mostUsed(), lessThanOrEqualTo(1.1));
        assertThat(zone.toString(), zone.meanUsed(), greaterThan(0.6));
    }
}
