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
        load.recordSent(ENGINE, 1);
        load.recordSent(ENGINE, 2);
        load.recordEnded(ENGINE, 3);
        assertThat(load.estimate(ENGINE), is(1.0));
    }

    @Test
    void addsRequestsOfOtherNodesFromADelayedReport() {
        load.recordSent(ENGINE, 1);
        load.recordSent(ENGINE, 2);
        load.recordSent(ENGINE, 30);
        // at time 10 two of the seven requests were this node's
        load.recordReport(ENGINE, 7, 10);
        assertThat(load.estimate(ENGINE), is(8.0));
    }

    @Test
    void prefersCountsOfPeersToReports() {
        load.recordReport(ENGINE, 7, 10);
        load.recordPeerRequests(new InstanceId("node-2"), ENGINE, 3);
        load.recordPeerRequests(new InstanceId("node-3"), ENGINE, 1);
        assertThat(load.estimate(ENGINE), is(4.0));
    }

    /** Many nodes choose among the same endpoints by reports that are 30 steps old (3 s). */
    @Nested
    class Herding {
        private static final int ENDPOINTS = 40;
        private static final int STEPS = 200;
        private static final int LAG_STEPS = 30;
        private static final int REQUEST_STEPS = 70;
        private static final double MAX_LOAD_RATIO = 2;

        /**
         * Simulates nodes that send requests; returns the highest ratio of an endpoint's load to
         * the mean load, after a warm-up.
         */
        private double highestLoadRatio(int nodes, boolean corrected) {
            List<EndpointLoad> loads = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                loads.add(new EndpointLoad());
            }
            Random random = new Random(17);
            List<int[]> history = new ArrayList<>();
            List<List<int[]>> ends = new ArrayList<>();
            for (int i = 0; i < STEPS + REQUEST_STEPS + 1; i++) {
                ends.add(new ArrayList<>());
            }
            int[] running = new int[ENDPOINTS];
            double highest = 0;
            int perStep = Math.max(1, 80 / nodes);
            for (int step = 0; step < STEPS; step++) {
                for (int[] end : ends.get(step)) {
                    running[end[1]]--;
                    loads.get(end[0]).recordEnded(id(end[1]), step);
                }
                int[] reported =
                        history.isEmpty() ? running : history.get(Math.max(0, step - LAG_STEPS));
                for (int node = 0; node < nodes; node++) {
                    if (nodes > 80 && random.nextInt(nodes) >= 80) {
                        continue;
                    }
                    EndpointLoad load = loads.get(node);
                    for (int e = 0; e < ENDPOINTS; e++) {
                        load.recordReport(id(e), reported[e], Math.max(0, step - LAG_STEPS));
                    }
                    for (int k = 0; k < perStep; k++) {
                        int chosen =
                                corrected ? lessLoadedOfTwo(load, random) : leastReported(reported);
                        running[chosen]++;
                        load.recordSent(id(chosen), step);
                        ends.get(step + REQUEST_STEPS).add(new int[] {node, chosen});
                    }
                }
                history.add(running.clone());
                if (step > REQUEST_STEPS) {
                    double mean = Arrays.stream(running).average().orElseThrow();
                    highest = Math.max(highest, Arrays.stream(running).max().orElseThrow() / mean);
                }
            }
            return highest;
        }

        private static InstanceId id(int number) {
            return new InstanceId("engine-" + number);
        }

        /** Returns the less loaded of two random endpoints, by the corrected estimate. */
        private static int lessLoadedOfTwo(EndpointLoad load, Random random) {
            int a = random.nextInt(ENDPOINTS);
            int b = random.nextInt(ENDPOINTS);
            ToDoubleFunction<Integer> estimate = e -> load.estimate(id(e));
            return estimate.applyAsDouble(a) <= estimate.applyAsDouble(b) ? a : b;
        }

        private static int leastReported(int[] reported) {
            int best = 0;
            for (int e = 1; e < reported.length; e++) {
                best = reported[e] < reported[best] ? e : best;
            }
            return best;
        }

        @Test
        void sevenNodesBalanceTheLoad() {
            assertThat(highestLoadRatio(7, true), is(lessThanOrEqualTo(MAX_LOAD_RATIO)));
        }

        @Test
        void fourHundredNodesBalanceTheLoad() {
            assertThat(highestLoadRatio(400, true), is(lessThanOrEqualTo(MAX_LOAD_RATIO)));
        }

        @Test
        void choosingTheLeastReportedLoadCausesHerding() {
            assertThat(highestLoadRatio(7, false), is(greaterThan(MAX_LOAD_RATIO)));
        }
    }
}
