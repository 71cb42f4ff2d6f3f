package hyssopturn.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import hyssopturn.load.LoadMessage;
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
    private static final int SECONDS = 4;
    private static final int UDP_HEADER_BYTES = 28;
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    private final SplittableRandom random = new SplittableRandom(3);

    private static LoadScope scope(int engine) {
        return new LoadScope("writers", ZONES.get(engine % ZONES.size()));
    }

    private static long bytes(LoadMessage message) {
        return LoadCodec.encode(message).stream().mapToLong(b -> b.length + UDP_HEADER_BYTES).sum();
    }

    private void addStream(LoadNetwork.Node node, int zone) {
        for (int hop = 0; hop < HOPS; hop++) {
            int engine = random.nextInt(ENGINES / ZONES.size()) * ZONES.size() + zone;
            node.own().change(scope(engine), new InstanceId("engine-" + engine), 12_000);
        }
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
        for (int i = 0; i < NODES; i++) {
            for (int stream = 0; stream < STREAMS_PER_NODE; stream++) {
                addStream(network.nodes().get(i), i % ZONES.size());
            }
        }
        network.clock().advance(Duration.ofSeconds(2));
        network.countBytes(LoadTrafficTest::bytes);
        network.clock().advance(Duration.ofSeconds(SECONDS));
        double total =
                network.nodes().stream()
                        .mapToLong(n -> n.bytesSent() + n.bytesReceived())
                        .sum();
        double most = network.nodes().stream()
                        .mapToLong(n -> n.bytesSent() + n.bytesReceived()).max().getAsLong();
        System.out.println("mean " + total / NODES / SECONDS + " max " + most / SECONDS + " sent max " + network.nodes().stream().mapToLong(n->n.bytesSent()).max().getAsLong()/SECONDS);
        assertThat(total / NODES / SECONDS, lessThan(13_000.0));
        assertThat(network.nodes().getFirst().exchange().nodesHeard(), greaterThan(390));
    }
}
