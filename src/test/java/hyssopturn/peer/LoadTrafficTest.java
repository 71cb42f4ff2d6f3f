package hyssopturn.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import hyssopturn.load.LoadNetwork;
import hyssopturn.load.LoadScope;
import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;

class LoadTrafficTest {
    private static final int NODES = 400;
    private static final int ENGINES = 600;
    private static final int STREAMS_PER_NODE = 12;
    private static final int HOPS = 6;
    private static final long TOKENS = 12_800;
    private static final int SECONDS = 4;
    private static final double MAX_MEAN = 13_000;

    /** Bound for a node that adds up the loads of a zone, which answers every other node. */
    private static final double MAX_SUMMING = 450_000;

    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    private final SplittableRandom random = new SplittableRandom(3);
    private final long[] tokens = new long[ENGINES];

    private static LoadScope scope(int engine) {
        return new LoadScope("writers", ZONES.get(engine % ZONES.size()));
    }

    private static InstanceId id(int engine) {
        return new InstanceId("engine-" + engine);
    }

    private void addStream(LoadNetwork.Node node, int zone) {
        for (int hop = 0; hop < HOPS; hop++) {
            int engine = random.nextInt(ENGINES / ZONES.size()) * ZONES.size() + zone;
            node.own().change(scope(engine), id(engine), TOKENS);
            tokens[engine] += TOKENS;
        }
        node.own().streams("writers", 0).asked();
    }

    /** Nodes have a quarter of a core and share their links with the streams of clients. */
    @Test
    void aLargeDeploymentSendsFewBytesForEachNode() {
        LoadNetwork network =
                new LoadNetwork(
                        NODES,
                        ZONES,
                        Stream.of(0, 1, 2)
                                .map(LoadTrafficTest::scope)
                                .collect(Collectors.toUnmodifiableSet()),
                        id -> Optional.of(scope(Integer.parseInt(id.value().substring(7)))));
        network.encode(LoadCodec::encode, LoadCodec::decode);
        for (int i = 0; i < NODES; i++) {
            for (int stream = 0; stream < STREAMS_PER_NODE; stream++) {
                addStream(network.nodes().get(i), i % ZONES.size());
            }
        }
        network.clock().advance(Duration.ofSeconds(3));
        network.nodes().forEach(LoadNetwork.Node::resetBytes);
        network.clock().advance(Duration.ofSeconds(SECONDS));
        double total = network.nodes().stream().mapToLong(LoadNetwork.Node::bytes).sum();
        double most = network.nodes().stream().mapToLong(LoadNetwork.Node::bytes).max().orElse(0);
        assertThat(total / NODES / SECONDS, lessThan(MAX_MEAN));
        assertThat(most / SECONDS, lessThan(MAX_SUMMING));
        assertThat(network.nodes().getFirst().exchange().nodesHeard(), greaterThan(390));
        for (int engine = 0; engine < ENGINES; engine += 50) {
            assertThat(
                    network.nodes().get(1).exchange().usedTokens(id(engine)).orElse(-1),
                    closeTo((double) tokens[engine], 2.0 * TOKENS));
        }
    }
}
