package hyssopturn.chain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.SplittableRandom;
import java.util.stream.IntStream;

class ManyNodesTest {
    private static final int SECONDS = 30;

    private static ZoneSimulation zone(int nodes) {
        var loads =
                IntStream.range(0, nodes)
                        .mapToObj(i -> new EngineLoad(new SplittableRandom(i), nodes))
                        .toList();
        return new ZoneSimulation(ZoneSimulation.engines("a", 1, 19, 9), loads, 17);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 6, 18, 100})
    void doNotFillSomeEnginesWhileOthersHaveSpareMemory(int nodes) {
        ZoneSimulation zone = zone(nodes);
        zone.play(zone.rate(0.6), SECONDS);
        assertThat(zone.refusedShare(), lessThan(0.01));
    }
}
