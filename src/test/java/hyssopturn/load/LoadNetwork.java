package hyssopturn.load;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Nodes that exchange loads in virtual time over a link that loses, delays and repeats messages.
 */
public final class LoadNetwork {
    /** Number of partitions, and so of nodes that can be asked for sums. */
    static final int PARTITIONS = 128;

    private static final int MIN_NODES = 3;

    /** Size of the headers of a datagram. */
    private static final int HEADER_BYTES = 28;

    private static final Duration MIN_DELAY = Duration.ofMillis(1);

    private final VirtualClock clock = new VirtualClock(1_000);
    private final SplittableRandom random = new SplittableRandom(7);
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Address, Node> byAddress = new HashMap<>();
    private final Set<LoadScope> scopes;
    private final Function<InstanceId, Optional<LoadScope>> scopeOf;
    private double loss = 0.005;
    private double repeated = 0.005;
    private Duration maxDelay = Duration.ofMillis(6);
    private Function<LoadMessage, List<byte[]>> encoder = message -> List.of();
    private Function<byte[], LoadMessage> decoder;

    /** One node; it can be killed, paused and of an older build. */
    public final class Node {
        private final Address address;
        private final String zone;
        private final OwnLoad own = new OwnLoad();
        private final List<Runnable> postponed = new ArrayList<>();
        private LoadExchange exchange;
        private boolean paused;
        private boolean dead;
        private long bytesSent;
        private long bytesReceived;

        private Node(int number, String zone) {
            address = new Address("10.0.%d.%d".formatted(number / 250, number % 250), 7343);
            this.zone = zone;
            byAddress.put(address, this);
            start();
        }

        private void start() {
            exchange =
                    new LoadExchange(
                            address,
                            zone,
                            PARTITIONS,
                            MIN_NODES,
                            ownClock(),
                            random,
                            (to, message) -> deliver(this, to, message),
                            own,
                            () -> scopes,
                            scopeOf);
            exchange.start();
        }

        private Clock ownClock() {
            return new Clock() {
                @Override
                public long nanos() {
                    return clock.nanos();
                }

                @Override
                public long wallMillis() {
                    return clock.wallMillis();
                }

                @Override
                public Timer after(Duration delay, Runnable task) {
                    return clock.after(delay, () -> run(task));
                }
            };
        }

        private void run(Runnable task) {
            if (paused) {
                postponed.add(task);
            } else if (!dead) {
                task.run();
            }
        }

        public OwnLoad own() {
            return own;
        }

        public LoadExchange exchange() {
            return exchange;
        }

        public Address address() {
            return address;
        }

        /** Ends the node, or makes it behave as one that does not know these messages. */
        public void kill() {
            dead = true;
        }

        public void pause() {
            paused = true;
        }

        public void resume() {
            paused = false;
            List<Runnable> due = List.copyOf(postponed);
            postponed.clear();
            due.forEach(this::run);
        }

        public long bytes() {
            return bytesSent + bytesReceived;
        }

        public void resetBytes() {
            bytesSent = 0;
            bytesReceived = 0;
        }
    }

    /** Creates nodes that are spread evenly over zones. */
    public LoadNetwork(
            int count,
            List<String> zones,
            Set<LoadScope> scopes,
            Function<InstanceId, Optional<LoadScope>> scopeOf) {
        this.scopes = scopes;
        this.scopeOf = scopeOf;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, zones.get(i % zones.size())));
        }
        assignPartitions(nodes);
    }

    /** Makes all living nodes learn which ones hold the partitions. */
    void assignPartitions(List<Node> holders) {
        Map<Integer, Address> owners = new HashMap<>();
        for (int i = 0; i < PARTITIONS; i++) {
            owners.put(i, holders.get(i % holders.size()).address);
        }
        for (Node node : nodes) {
            node.exchange.owners(owners);
            node.exchange.assign(held(node, owners));
        }
    }

    private static Set<Integer> held(Node node, Map<Integer, Address> owners) {
        return owners.entrySet().stream()
                .filter(e -> e.getValue().equals(node.address))
                .map(Map.Entry::getKey)
                .collect(java.util.stream.Collectors.toSet());
    }

    /** Sets how the link treats messages. */
    public void link(double lossPart, double repeatedPart, Duration greatestDelay) {
        loss = lossPart;
        repeated = repeatedPart;
        maxDelay = greatestDelay;
    }

    /** Sends messages as datagrams, which are lost one by one, and counts their bytes. */
    public void encode(
            Function<LoadMessage, List<byte[]>> encode, Function<byte[], LoadMessage> decode) {
        encoder = encode;
        decoder = decode;
    }

    private void deliver(Node from, Address to, LoadMessage message) {
        if (decoder == null) {
            deliver(from, to, message, 0);
            return;
        }
        for (byte[] datagram : encoder.apply(message)) {
            deliver(from, to, decoder.apply(datagram), datagram.length + HEADER_BYTES);
        }
    }

    private void deliver(Node from, Address to, LoadMessage message, long bytes) {
        from.bytesSent += bytes;
        Node receiver = byAddress.get(to);
        if (receiver == null || cut(from, receiver) || random.nextDouble() < loss) {
            return;
        }
        receiver.bytesReceived += bytes;
        int copies = random.nextDouble() < repeated ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            clock.after(
                    delay(),
                    () -> receiver.run(() -> receiver.exchange.receive(from.address, message)));
        }
    }

    private String cutZone = "";

    /** Cuts the links between a zone and the others; an empty name restores them. */
    void cut(String zone) {
        cutZone = zone;
    }

    private boolean cut(Node a, Node b) {
        return a.zone.equals(cutZone) != b.zone.equals(cutZone);
    }

    private Duration delay() {
        return MIN_DELAY.plusNanos(random.nextLong(maxDelay.toNanos()));
    }

    public List<Node> nodes() {
        return nodes;
    }

    public VirtualClock clock() {
        return clock;
    }

    /** Returns the node that adds up a scope, or the one that stands in for it. */
    Node summing(LoadScope scope, boolean standIn) {
        int partition = (scope.partition(PARTITIONS) + (standIn ? 1 : 0)) % PARTITIONS;
        return nodes.get(partition % nodes.size());
    }
}
