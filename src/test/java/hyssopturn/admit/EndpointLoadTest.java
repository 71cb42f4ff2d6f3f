package hyssopturn.admit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;

class EndpointLoadTest {
    private static final InstanceId ENGINE = new InstanceId("engine-1");

    private final EndpointLoad load = new EndpointLoad();

    @Test
    void countsOwnRequestsExactly() {
        load.sent(ENGINE, 1);
        load.sent(ENGINE, 2);
        load.ended(ENGINE, 3);
        assertThat(load.estimate(ENGINE), is(1.0));
    }

    @Test
    void addsOthersFromALateReport() {
        load.sent(ENGINE, 1);
        load.sent(ENGINE, 2);
        load.sent(ENGINE, 30);
        // at 10 two of the seven were this node's
        load.reported(ENGINE, 7, 10);
        assertThat(load.estimate(ENGINE), is(8.0));
    }

    @Test
    void believesPeersMoreThanReports() {
        load.reported(ENGINE, 7, 10);
        load.peer(new InstanceId("node-2"), ENGINE, 3);
        load.peer(new InstanceId("node-3"), ENGINE, 1);
        assertThat(load.estimate(ENGINE), is(4.0));
    }

    /** Many nodes choose among the same endpoints by reports that are 3 s old. */
    @Nested
    class Herding {
        private static final int ENDPOINTS = 40;
        private static final int STEPS = 200;
        private static final int LAG_STEPS = 30;
        private static final int SPAN_STEPS = 70;
        private static final double BOUND = 2;

        /** Runs nodes; returns the highest load over the mean, after a warm-up. */
        private double worst(int nodes, boolean corrected) {
            List<EndpointLoad> views = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                views.add(new EndpointLoad());
            }
            Random random = new Random(17);
            List<int[]> history = new ArrayList<>();
            List<List<int[]>> ends = new ArrayList<>();
            for (int i = 0; i < STEPS + SPAN_STEPS + 1; i++) {
                ends.add(new ArrayList<>());
            }
            int[] now = new int[ENDPOINTS];
            double worst = 0;
            int perStep = Math.max(1, 80 / nodes);
            for (int step = 0; step < STEPS; step++) {
                for (int[] end : ends.get(step)) {
                    now[end[1]]--;
                    views.get(end[0]).ended(id(end[1]), step);
                }
                int[] seen = history.isEmpty() ? now : history.get(Math.max(0, step - LAG_STEPS));
                for (int node = 0; node < nodes; node++) {
                    if (nodes > 80 && random.nextInt(nodes) >= 80) {
                        continue;
                    }
                    EndpointLoad view = views.get(node);
                    for (int e = 0; e < ENDPOINTS; e++) {
                        view.reported(id(e), seen[e], Math.max(0, step - LAG_STEPS));
                    }
                    for (int k = 0; k < perStep; k++) {
                        int chosen = corrected ? ofTwo(view, random) : least(seen);
                        now[chosen]++;
                        view.sent(id(chosen), step);
                        ends.get(step + SPAN_STEPS).add(new int[] {node, chosen});
                    }
                }
                history.add(now.clone());
                if (step > SPAN_STEPS) {
                    double mean = Arrays.stream(now).average().orElseThrow();
                    worst = Math.max(worst, Arrays.stream(now).max().orElseThrow() / mean);
                }
            }
            return worst;
        }

        private static InstanceId id(int number) {
            return new InstanceId("engine-" + number);
        }

        /** The less loaded of two at random, by the corrected estimate. */
        private static int ofTwo(EndpointLoad view, Random random) {
            int a = random.nextInt(ENDPOINTS);
            int b = random.nextInt(ENDPOINTS);
            ToDoubleFunction<Integer> estimate = e -> view.estimate(id(e));
            return estimate.applyAsDouble(a) <= estimate.applyAsDouble(b) ? a : b;
        }

        private static int least(int[] seen) {
            int best = 0;
            for (int e = 1; e < seen.length; e++) {
                best = seen[e] < seen[best] ? e : best;
            }
            return best;
        }

        @Test
        void sevenNodesKeepEndpointsEven() {
            assertThat(worst(7, true), is(lessThanOrEqualTo(BOUND)));
        }

        @Test
        void fourHundredNodesKeepEndpointsEven() {
            assertThat(worst(400, true), is(lessThanOrEqualTo(BOUND)));
        }

        @Test
        void theLeastReportedOneWouldDrawAll() {
            assertThat(worst(7, false), is(greaterThan(BOUND)));
        }
    }
}
