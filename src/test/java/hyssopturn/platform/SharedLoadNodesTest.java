package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.time.Duration;
import java.util.Optional;

/** Whole nodes tell each other their loads by real datagrams. */
@Timeout(120)
class SharedLoadNodesTest {
    private static final int NODES = 3;
    private static final int MAX_WAITS = 120;
    private static final Duration WAIT = Duration.ofMillis(100);
    private static final String SERVICES =
            """
            [{"Name":"writers","Engine":{"Layers":80,"Kinds":[{"Name":"t4","SizeMb":80000}]}}]\
            """;

    /** Loads would stay unknown if nodes did not listen where others send, or know no holders. */
    @Test
    void nodesHearOfAllOthers() {
        try (NodeGroup nodes = new NodeGroup()) {
            String config =
                    Configs.document(
                            1,
                            "[" + Configs.route("w", "/w/", "idempotent", "writers", 1_000) + "]",
                            SERVICES,
                            "[]",
                            65_536);
            nodes.store().write("op", "config", Optional.of(config));
            nodes.endpoint("r1", request -> request.response().end());
            nodes.startNodes(NODES);
            for (int node = 0; node < NODES; node++) {
                awaitAllHeard(nodes, node);
                assertThat(nodes.metric(node, "hyssopturn_load_nodes"), equalTo((double) NODES));
                assertThat(
                        nodes.metric(node, "hyssopturn_load_age_seconds"),
                        both(greaterThan(0.0)).and(lessThan(2.5)));
                assertThat(nodes.metric(node, "hyssopturn_load_sent_total"), greaterThan(0.0));
            }
        }
    }

    private static void awaitAllHeard(NodeGroup nodes, int node) {
        for (int i = 0; i < MAX_WAITS && nodes.metric(node, "hyssopturn_load_nodes") < NODES; i++) {
            NodeGroup.pause(WAIT);
        }
    }
}
