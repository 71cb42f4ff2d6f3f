package hyssopturn.tunnel;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import hyssopturn.model.Address;

import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

class HelpersTest {
    private static final int NODES = 95;
    private static final int CUT_OFF = 57;
    private static final int REQUESTS = 20_000;
    private static final double SPREAD = 1.5;

    private final Helpers helpers = new Helpers(new SplittableRandom(1));

    private static Address node(int number) {
        return new Address("10.0.0." + number, 80);
    }

    private static boolean reaches(Address node) {
        return Integer.parseInt(node.host().substring("10.0.0.".length())) >= CUT_OFF;
    }

    private void know(int nodes) {
        helpers.replace(IntStream.range(0, nodes).mapToObj(HelpersTest::node).toList());
    }

    @Test
    void aNodeThatFailedIsAskedLast() {
        know(3);
        helpers.record(node(1), false, 0);
        assertThat(helpers.inOrder(3, 1).getLast(), equalTo(node(1)));
    }

    @Test
    void nodesThatLeftAreNotAsked() {
        know(3);
        know(2);
        assertThat(helpers.inOrder(3, 0), hasSize(2));
    }

    /** Guards against one node that carries the requests of all that are cut off. */
    @Test
    void theWorkIsSpreadOverTheNodesThatCanDoIt() {
        know(NODES);
        Map<Address, Integer> taken = new HashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            Address first = helpers.inOrder(1, i).getFirst();
            helpers.record(first, reaches(first), i);
            int now = i;
            helpers.unknown(i).ifPresent(n -> helpers.record(n, reaches(n), now));
            if (reaches(first)) {
                taken.merge(first, 1, Integer::sum);
            }
        }
        int most = taken.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        List<Address> reaching =
                IntStream.range(CUT_OFF, NODES).mapToObj(HelpersTest::node).toList();
        assertThat("most " + most + " of " + taken, most <= SPREAD * REQUESTS / reaching.size());
    }
}
