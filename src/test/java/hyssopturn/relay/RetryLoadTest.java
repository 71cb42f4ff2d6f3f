package hyssopturn.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import hyssopturn.relay.RetryBudget.AnswerState;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;

/** Load of requests and faults in virtual time on nodes that do not communicate with each other. */
class RetryLoadTest {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();
    private static final long PATIENCE_NANOS = Duration.ofMillis(1_800).toNanos();
    private static final double RATIO = 0.2;
    private static final double FIXED = 198;
    private static final String SERVICE = "writers";

    /** Time over which replacements of silent attempts precede the failures of a fault. */
    private static final long SILENCE_NANOS = Duration.ofMillis(260).toNanos();

    /** How retries are granted. */
    private enum Policy {
        /** Replacements and failures share the budget; who finds it used up ends. */
        SHARED_WITHOUT_WAITING,
        /** Replacements have their part; answers that began wait. */
        RESERVED_WITH_WAITING
    }

    private static final class Simulation {
        private final Policy policy;
        private final SplittableRandom random;
        private final List<RetryBudget> budgets = new ArrayList<>();
        private final List<RetryQueue> queues = new ArrayList<>();
        private final List<Long> requests = new ArrayList<>();
        private final List<Long> retries = new ArrayList<>();
        private long now;
        private int broken;
        private int continued;

        Simulation(Policy policy, int nodes, long seed) {
            this.policy = policy;
            random = new SplittableRandom(seed);
            for (int i = 0; i < nodes; i++) {
                budgets.add(new RetryBudget(RATIO, WINDOW_NANOS, FIXED, 1.0 / nodes));
                queues.add(new RetryQueue());
            }
        }

        /** Sends requests at a rate that changes, with a fault of all nodes every few seconds. */
        void run(Duration time, double requestsPerTick) {
            long nextFaultNanos = WINDOW_NANOS / 2;
            long failuresNanos = Long.MAX_VALUE;
            while (now < time.toNanos()) {
                double surge = 1 + Math.sin(now * 6.3 / WINDOW_NANOS / 2);
                sendRequests((int) Math.round(requestsPerTick * surge * random.nextDouble() * 2));
                if (now >= nextFaultNanos) {
                    eachNode(20, this::silent);
                    eachNode(4, this::notStarted);
                    failuresNanos = now + SILENCE_NANOS;
                    nextFaultNanos = now + random.nextLong(WINDOW_NANOS / 2);
                }
                if (now >= failuresNanos) {
                    eachNode(4, this::started);
                    failuresNanos = Long.MAX_VALUE;
                }
                queues.forEach(queue -> queue.tick(now));
                now += TICK_NANOS;
            }
        }

        private void sendRequests(int count) {
            for (int i = 0; i < count; i++) {
                budgets.get(random.nextInt(budgets.size())).recordRequest(SERVICE, now);
                requests.add(now);
            }
        }

        private void eachNode(int mostStreams, IntConsumer event) {
            for (int node = 0; node < budgets.size(); node++) {
                int streams = random.nextInt(mostStreams);
                for (int i = 0; i < streams; i++) {
                    event.accept(node);
                }
            }
        }

        private boolean retry(int node, AnswerState answerState) {
            boolean allowed = budgets.get(node).tryAcquire(SERVICE, answerState, now);
            if (allowed) {
                retries.add(now);
            }
            return allowed;
        }

        private void silent(int node) {
            boolean shared = policy == Policy.SHARED_WITHOUT_WAITING;
            retry(node, shared ? AnswerState.STARTED : AnswerState.SILENT);
        }

        private void notStarted(int node) {
            retry(node, AnswerState.NOT_STARTED);
        }

        private void started(int node) {
            if (retry(node, AnswerState.STARTED)) {
                continued++;
            } else if (policy == Policy.SHARED_WITHOUT_WAITING) {
                broken++;
            } else {
                long leaves = now + PATIENCE_NANOS;
                long search = now + RetryQueue.SEARCH_INTERVAL.toNanos();
                queues.get(node).add(new Waiting(node), leaves, leaves, search);
            }
        }

        private final class Waiting implements RetryQueue.Member {
            private final int node;

            Waiting(int node) {
                this.node = node;
            }

            @Override
            public boolean begun() {
                return true;
            }

            @Override
            public boolean affordable() {
                return budgets.get(node).allows(SERVICE, AnswerState.STARTED, now);
            }

            @Override
            public boolean tryStart() {
                boolean started = retry(node, AnswerState.STARTED);
                continued += started ? 1 : 0;
                return started;
            }

            @Override
            public void endWait() {
                broken++;
            }
        }

        /** Returns the largest part of the operator's budget that was used in any window. */
        double mostUsed() {
            double most = 0;
            for (long end : retries) {
                long start = end - WINDOW_NANOS;
                long counted =
                        Math.max(
                                count(requests, start, end),
                                Math.max(
                                        count(requests, start - WINDOW_NANOS, start),
                                        count(
                                                requests,
                                                start - WINDOW_NANOS / 2,
                                                end - WINDOW_NANOS / 2)));
                most = Math.max(most, count(retries, start, end) / (RATIO * counted + FIXED));
            }
            return most;
        }

        private static long count(List<Long> times, long after, long until) {
            return firstAfter(times, until) - firstAfter(times, after);
        }

        private static long firstAfter(List<Long> sorted, long time) {
            int low = 0;
            int high = sorted.size();
            while (low < high) {
                int middle = (low + high) / 2;
                if (sorted.get(middle) <= time) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }
    }

    private static Simulation simulate(Policy policy, int nodes, long seed) {
        Simulation simulation = new Simulation(policy, nodes, seed);
        simulation.run(Duration.ofSeconds(60), nodes / 4.0);
        return simulation;
    }

    @ParameterizedTest
    @CsvSource({"7, 1", "7, 2", "7, 3", "95, 1", "95, 2", "95, 3"})
    void retriesOfAllNodesStayWithinTheBudgetAndFewerAnswersAreBroken(int nodes, long seed) {
        Simulation before = simulate(Policy.SHARED_WITHOUT_WAITING, nodes, seed);
        Simulation now = simulate(Policy.RESERVED_WITH_WAITING, nodes, seed);
        assertThat(now.mostUsed(), lessThan(1.0));
        assertThat("the load uses up the budget", before.broken, greaterThan(0));
        assertThat(now.broken, lessThan(before.broken));
        assertThat(now.continued > 0, equalTo(true));
    }
}
