package hyssopturn.share;

import hyssopturn.log.Backoff;
import hyssopturn.log.KeyedFollower;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.platform.PlatformAdapter;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** Nodes that share the reading of a store over a network that loses and repeats datagrams. */
final class SimulatedGroup {
    static final ReadPlan PLAN = new ReadPlan(Duration.ofSeconds(1), Duration.ofSeconds(2));
    static final int ENGINES = 20;

    private static final int PARTITIONS = 128;
    private static final Duration STEP = Duration.ofMillis(5);
    private static final String ANNOUNCEMENT = "{\"State\":\"%s\",\"Sequence\":%d,\"born\":%d}";

    final VirtualClock clock = new VirtualClock(0);
    final SimulatedStore store = new SimulatedStore(clock);
    final List<Node> nodes = new ArrayList<>();
    final Map<String, String> engines = new TreeMap<>();
    private final Random random;
    double loss;
    double repeated;
    Duration maxDelay = Duration.ofMillis(5);
    int replies;
    private int sequence;

    SimulatedGroup(int count, long seed, Predicate<Integer> shares) {
        random = new Random(seed);
        store.append("config", "c", "version 1");
        for (int i = 0; i < ENGINES; i++) {
            engines.put("e" + i, "ready");
        }
        announce();
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, shares.test(i)));
        }
        nodes.forEach(Node::start);
    }

    static SimulatedGroup settled(int count, long seed) {
        SimulatedGroup group = new SimulatedGroup(count, seed, i -> true);
        group.clock.advance(Duration.ofSeconds(20));
        return group;
    }

    /** Each engine announces itself every second. */
    private void announce() {
        if (!store.down) {
            sequence++;
            engines.forEach((name, state) -> announce(name, state, 1));
        }
        clock.after(Duration.ofSeconds(1), this::announce);
    }

    void announce(String engine, String state, long born) {
        engines.put(engine, state);
        store.append("engines", engine, ANNOUNCEMENT.formatted(state, sequence, born));
    }

    /** Removes an engine whose announcements ended. */
    void remove(String engine) {
        engines.remove(engine);
        store.append("engines", engine, "");
    }

    /** Returns the milliseconds until a condition holds, at most some seconds. */
    long millisUntil(BooleanSupplier condition) {
        long start = clock.nanos();
        long end = start + Duration.ofSeconds(20).toNanos();
        while (!condition.getAsBoolean() && clock.nanos() < end) {
            clock.advance(STEP);
        }
        return (clock.nanos() - start) / 1_000_000;
    }

    boolean allRunning(Predicate<Node> condition) {
        return nodes.stream().filter(n -> n.clock.running()).allMatch(condition);
    }

    List<Node> hubs() {
        return nodes.stream().filter(n -> n.sharing.readers() > 0).toList();
    }

    /** Calls per second and node in a time; a call that joins the group counts a tenth. */
    double callsPerNode(Duration time) {
        double before = store.calls;
        clock.advance(time);
        return (store.calls - before) / time.toSeconds() / nodes.size();
    }

    private Map<Integer, Address> holders() {
        List<Node> alive = nodes.stream().filter(n -> !n.left).toList();
        Map<Integer, Address> holders = new HashMap<>();
        for (int i = 0; i < PARTITIONS; i++) {
            holders.put(i, alive.get(i % alive.size()).address);
        }
        return holders;
    }

    void send(Address from, Address to, ShareMessage message) {
        if (message instanceof ShareMessage.Reply) {
            replies++;
        }
        int copies = random.nextDouble() < repeated ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= loss) {
                Duration delay = Duration.ofNanos(random.nextLong(maxDelay.toNanos()));
                clock.after(delay, () -> deliver(from, to, message));
            }
        }
    }

    private void deliver(Address from, Address to, ShareMessage message) {
        nodes.stream()
                .filter(n -> n.address.equals(to) && n.shares)
                .forEach(n -> n.clock.deliver(() -> n.sharing.receive(from, message)));
    }

    /** A node with what it knows. */
    final class Node {
        final Address address;
        final NodeClock clock = new NodeClock(SimulatedGroup.this.clock);
        final SimulatedStore.Connection log = store.new Connection(clock);
        final Map<SharedStream, SharedFollower> followers = new EnumMap<>(SharedStream.class);
        final Map<String, String> endpoints = new HashMap<>();
        final Map<String, Integer> heartbeats = new HashMap<>();
        final List<String> doubted = new ArrayList<>();
        final List<String> faults = new ArrayList<>();
        final SimulatedHolders holders = new SimulatedHolders();
        final StoreSharing sharing;
        final boolean shares;
        String config = "";
        long confirmedNanos;
        int listings;
        boolean left;

        Node(int index, boolean shares) {
            address = new Address("10.0.0." + index, 7_000);
            this.shares = shares;
            follow(SharedStream.CONFIGURATION, "config");
            follow(SharedStream.ENDPOINTS, "engines");
            follow(SharedStream.FAULTS, "faults");
            log.whenRestored(() -> followers.values().forEach(SharedFollower::restart));
            sharing =
                    new StoreSharing(
                            address,
                            PLAN.questionInterval(),
                            List.copyOf(followers.values()),
                            holders,
                            () -> doubted,
                            log::era,
                            clock,
                            new SplittableRandom(index),
                            new ShareChannel() {
                                @Override
                                public void open() {
                                    // messages are always received
                                }

                                @Override
                                public void send(Address to, ShareMessage message) {
                                    SimulatedGroup.this.send(address, to, message);
                                }
                            },
                            role -> {});
        }

        private void follow(SharedStream stream, String name) {
            followers.put(
                    stream,
                    new SharedFollower(
                            stream,
                            log,
                            name,
                            PLAN.timing(stream),
                            clock,
                            new Backoff(new SplittableRandom(1), Duration.ofMillis(300)),
                            stream == SharedStream.ENDPOINTS
                                    ? Optional.of(PlatformAdapter::repeats)
                                    : Optional.empty(),
                            new Knowledge(stream)));
        }

        void start() {
            followers.values().forEach(SharedFollower::start);
            join();
            holders.tick();
            if (shares) {
                sharing.start();
            }
        }

        private void join() {
            log.call(0.1, () -> true);
            clock.after(Duration.ofSeconds(1), this::join);
        }

        boolean asks() {
            return followers.values().stream().allMatch(SharedFollower::replaced);
        }

        /** Ends the node; the store notices some seconds later. */
        void kill() {
            clock.kill();
            SimulatedGroup.this.clock.after(Duration.ofSeconds(3), () -> left = true);
        }

        /** What the node knows of a stream. */
        private final class Knowledge implements KeyedFollower.Listener {
            private final SharedStream stream;

            Knowledge(SharedStream stream) {
                this.stream = stream;
            }

            @Override
            public void snapshot(KeyedLog.Page page) {
                listings++;
                if (stream == SharedStream.ENDPOINTS) {
                    endpoints.clear();
                }
                records(page);
            }

            @Override
            public void records(KeyedLog.Page page) {
                records(page, clock.nanos());
            }

            @Override
            public void records(KeyedLog.Page page, long readNanos) {
                page.entries().forEach(this::apply);
                if (stream == SharedStream.CONFIGURATION) {
                    confirmedNanos = readNanos;
                }
            }

            private void apply(KeyedLog.Entry entry) {
                String value = entry.value().map(Bytes::text).orElse("");
                switch (stream) {
                    case CONFIGURATION -> config = value;
                    case ENDPOINTS -> {
                        heartbeats.merge(entry.key(), 1, Integer::sum);
                        endpoints.put(entry.key(), value);
                    }
                    case FAULTS -> faults.add(value);
                }
            }

            @Override
            public void readFailed(PortException error) {
                // the follower reads again
            }
        }

        /** Reads of the holders each second, as while an endpoint has a limit. */
        private final class SimulatedHolders implements HolderReads {
            private static final long INTERVAL_MILLIS = 1_000;
            private Map<Integer, Address> known = Map.of();
            private long readNanos = -10_000_000_000L;
            private boolean shared;

            void tick() {
                clock.after(Duration.ofMillis(250), this::tick);
                long interval = shared ? INTERVAL_MILLIS / 2 : INTERVAL_MILLIS;
                long now = clock.nanos();
                if (now - readNanos >= interval * 1_000_000) {
                    log.call(1, SimulatedGroup.this::holders).thenAccept(h -> receive(h, now));
                }
            }

            @Override
            public Map<Integer, Address> holders() {
                return known;
            }

            @Override
            public long readNanos() {
                return readNanos;
            }

            @Override
            public boolean needed() {
                return true;
            }

            @Override
            public void receive(Map<Integer, Address> told, long asOfNanos) {
                known = told;
                readNanos = Math.max(readNanos, asOfNanos);
            }

            @Override
            public void readForOthers(boolean needed) {
                shared = true;
            }

            @Override
            public void readForItself() {
                shared = false;
            }
        }
    }
}
