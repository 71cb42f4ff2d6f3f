package hyssopturn.platform;

import hyssopturn.model.Address;
import hyssopturn.model.MachineLimits;
import hyssopturn.node.CallerBudget;
import hyssopturn.node.RelayNodeSettings;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;

/** Settings of whole nodes in tests. */
final class TestNodes {
    static final Duration LEAVE_NOTICE = Duration.ofSeconds(2);

    private static final int MAX_TRIES = 20;

    private TestNodes() {}

    /** Returns settings of a node at free addresses. */
    static PlatformSettings settings(String name, Address store) {
        return new PlatformSettings(
                name,
                "a",
                1,
                freeAddress(),
                freeAddress(),
                freeAddress(),
                freeAddress(),
                store,
                Duration.ofSeconds(8),
                LEAVE_NOTICE,
                Duration.ofSeconds(3),
                0.2,
                Duration.ofSeconds(10),
                198,
                1,
                MachineLimits.unknown());
    }

    /** Number of nodes from which on they exchange loads. */
    private static final int LOAD_NODES = 3;

    /** Returns settings of a node that never takes an engine for stalled. */
    static RelayNodeSettings own() {
        Duration never = Duration.ofMinutes(1);
        return new RelayNodeSettings(
                Duration.ofMillis(300),
                never,
                never,
                never,
                never,
                Duration.ofSeconds(1),
                1,
                100,
                true,
                true,
                LOAD_NODES,
                new CallerBudget(25, 0, 0));
    }

    /** Returns an address that is free for TCP and UDP; a port that is free for one may not be. */
    private static Address freeAddress() {
        for (int i = 0; i < MAX_TRIES; i++) {
            try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket udp = new DatagramSocket(tcp.getLocalSocketAddress())) {
                return new Address("127.0.0.1", udp.getLocalPort());
            } catch (IOException e) {
                // another port is tried
            }
        }
        throw new IllegalStateException("no port is free for TCP and UDP");
    }
}
