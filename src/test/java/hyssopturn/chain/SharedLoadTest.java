package hyssopturn.chain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

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
        System.out.println(nodes + " even " + zone);
        assertThat(zone.busiestPart(), lessThanOrEqualTo(1.3));
    }

    /** Clients of busy nodes must not be refused while others' engines are free. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 61, 121, 300, 400})
    void theCapacityIsUsedAndNotExceededInAnOverload(int nodes) {
        SharedLoadSimulation zone = new SharedLoadSimulation(nodes, 12);
        zone.play(1.6, SECONDS);
        System.out.println(nodes + " full " + zone);
        assertThat(zone.mostUsed(), lessThanOrEqualTo(1.1));
        assertThat(zone.meanUsed(), both(greaterThan(0.9)).and(lessThan(1.1)));
    }
}
