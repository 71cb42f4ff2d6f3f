package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.http.HttpServerRequest;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Limits that endpoints name, with whole nodes, counted from the requests that endpoints get. */
class EndpointLimitsTest {
    private static final int NODES = 4;
    private static final int CALLERS = 24;
    private static final int OK = 200;
    private static final int WINDOW_SECONDS = 4;
    private static final long WINDOW_NANOS = Duration.ofSeconds(WINDOW_SECONDS).toNanos();

    /** Time in which all nodes learn of a limit that was named for the first time. */
    private static final Duration LEARNING_TIME = Duration.ofSeconds(3);

    /** Part of what the endpoints take that is to be used while callers want more. */
    private static final double USED = 0.9;

    /** Part that is used even if no node knows whether it is the only issuer. */
    private static final double LEAST_USED = 0.4 * USED;

    /** Part that is used even if no node finds who issues grants. */
    private static final double UNISSUED_USED = 0.3;

    private static final Duration PLAY_TIME = Duration.ofSeconds(9);

    private final NodeGroup nodes = new NodeGroup();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean over;

    @BeforeEach
    void configure() {
        nodes.store().write("op", "config", Optional.of(Configs.version(1)));
    }

    @AfterEach
    void close() {
        over = true;
        nodes.close();
    }

    /** An endpoint that names a limit, 0 for none, and notes when requests arrive. */
    private static final class LimitedEndpoint {
        private final double limit;
        private final List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());

        LimitedEndpoint(double limit) {
            this.limit = limit;
        }

        void handle(HttpServerRequest request) {
            arrivals.add(System.nanoTime());
            var response = RelayHarness.signed(request);
            if (limit > 0) {
                response.putHeader("Server-Limit", String.valueOf(limit));
            }
            response.end("found");
        }

        /** Returns the most requests in any window, and how many arrived, after a time. */
        int most(long fromNanos) {
            List<Long> counted = after(fromNanos);
            int most = 0;
            int first = 0;
            for (int i = 0; i < counted.size(); i++) {
                while (counted.get(i) - counted.get(first) >= WINDOW_NANOS) {
                    first++;
                }
                most = Math.max(most, i - first + 1);
            }
            return most;
        }

        List<Long> after(long fromNanos) {
            synchronized (arrivals) {
                return arrivals.stream().filter(a -> a >= fromNanos).toList();
            }
        }

        int allowed() {
            return (int) (1.5 * limit * WINDOW_SECONDS) + 5;
        }
    }

    private LimitedEndpoint start(String id, double limit) {
        LimitedEndpoint endpoint = new LimitedEndpoint(limit);
        nodes.endpoint(id, endpoint::handle);
        return endpoint;
    }

    private void keepCalling(int node) {
        if (over) {
            return;
        }
        nodes.send(node, "/look/x")
                .onComplete(
                        r -> {
                            boolean ok = r.succeeded() && r.result().status() == OK;
                            (ok ? served : refused).incrementAndGet();
                            nodes.later(Duration.ofMillis(40), () -> keepCalling(node));
                        });
    }

    /** Keeps callers busy; a caller of an uneven load is at the first node. */
    private void callFromAll(boolean even) {
        for (int i = 0; i < CALLERS; i++) {
            keepCalling(even ? i % NODES : 0);
        }
    }

    private static void assertKept(
            List<LimitedEndpoint> endpoints, long from, Duration time, double part) {
        for (LimitedEndpoint endpoint : endpoints) {
            assertThat(endpoint.most(from), lessThanOrEqualTo(endpoint.allowed()));
            double allowed = endpoint.limit * time.toMillis() / 1_000;
            assertThat((double) endpoint.after(from).size(), greaterThan(part * allowed));
        }
    }

    private void assertLimitsKept(boolean even, double part, Runnable disturbance) {
        List<LimitedEndpoint> limited = List.of(start("a", 20), start("b", 20));
        start("c", 0);
        nodes.startNodes(NODES);
        callFromAll(even);
        NodeGroup.pause(LEARNING_TIME);
        long from = System.nanoTime();
        disturbance.run();
        NodeGroup.pause(PLAY_TIME);
        assertKept(limited, from, PLAY_TIME, part);
    }

    /** Guards against the sum of all nodes above what an endpoint takes. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void limitIsKeptByAllNodesTogether(boolean even) {
        assertLimitsKept(even, LEAST_USED, () -> {});
    }

    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void limitIsUsedWhileCallersWantMore(boolean even) {
        assertLimitsKept(even, USED, () -> {});
    }

    @Test
    void limitIsKeptWhileTheStoreIsAway() {
        assertLimitsKept(
                true,
                LEAST_USED,
                () -> {
                    nodes.store().state(LogStoreServer.State.SILENT);
                    nodes.later(
                            Duration.ofSeconds(6),
                            () -> nodes.store().state(LogStoreServer.State.UP));
                });
    }

    @Test
    void limitIsKeptBesideRestartOfANode() {
        assertLimitsKept(
                true,
                LEAST_USED,
                () -> {
                    nodes.kill(1);
                    NodeGroup.pause(Duration.ofMillis(500));
                    nodes.restart(1);
                });
    }

    /** Guards against requests that all nodes refuse since no holder can be read. */
    @Test
    void limitIsKeptAndPartlyUsedWhileHoldersCannotBeRead() {
        nodes.store().namesOwners(false);
        assertLimitsKept(true, UNISSUED_USED, () -> {});
    }
}
