package hyssopturn.limit;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Nodes, endpoints that name limits, and the assignment of partitions, in virtual time and without
 * network. Callers want more than the endpoints take; what has no room is refused at once.
 */
final class LimitSimulation {
    /** Number of partitions, and so of nodes that know each other. */
    static final int PARTITIONS = 128;

    private static final int ENDPOINTS = 4;
    private static final int ZONES = 3;

    /** Requests that callers want to send, as a multiple of what the endpoints take. */
    static final double DEMAND = 3;

    private static final double LEAST_DEMAND = 1;
    private static final double LOSS = 0.005;
    private static final Duration MAX_DELAY = Duration.ofMillis(4);
    private static final Duration WORK = Duration.ofMillis(60);
    private static final Duration RETURN_SPREAD = Duration.ofSeconds(2);
    private static final Duration JOIN_INTERVAL = Duration.ofSeconds(1);
    private static final Duration LEASE = Duration.ofSeconds(3);
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final VirtualClock clock = new VirtualClock(0);
    private final SplittableRandom random;
    private final double limit;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<List<Arrival>> arrivals = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Address, Node> byAddress = new HashMap<>();
    private final List<Node> holders = new ArrayList<>();
    private boolean storeAway;
    private boolean zonesCut;
    private double demand = 1;
    private Duration patience = Duration.ZERO;
    private double named;

    LimitSimulation(int count, double limit, boolean even, long seed) {
        random = new SplittableRandom(seed);
        this.limit = limit;
        named = limit;
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(endpoint(i));
            arrivals.add(new ArrayList<>());
        }
        double total = DEMAND * limit * ENDPOINTS;
        int busy = even ? count : Math.max(1, count / 20);
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, i < busy ? total / busy : 0));
        }
        rebalance();
    }

    private static Endpoint endpoint(int number) {
        return new Endpoint(
                new InstanceId("endpoint-" + number),
                "s",
                new Address("10.0.0.1", 1 + number),
                "z",
                10,
                false,
                "",
                Optional.empty(),
                1,
                1);
    }

    /** A node; started again, it has forgotten everything. */
    private final class Node {
        private final Address address;
        private final double requestsPerSecond;
        private final OffsetClock ownClock = new OffsetClock(clock);
        private EndpointLimits limits;
        private Set<Integer> held = new HashSet<>();
        private int start;
        private boolean running;
        private boolean stale;
        private boolean holdersHidden;
        private final int zone;
        private final long[] toldNanos = new long[ENDPOINTS];

        Node(int number, double requestsPerSecond) {
            address = new Address("10.1.%d.%d".formatted(number / 200, number % 200), 7341);
            this.requestsPerSecond = requestsPerSecond;
            zone = number % ZONES;
            byAddress.put(address, this);
            start();
        }

        void start() {
            Arrays.fill(toldNanos, Long.MAX_VALUE);
            limits = new EndpointLimits(address, PARTITIONS, ownClock, random, this::send);
            running = true;
            int current = ++start;
            if (!holders.contains(this)) {
                holders.add(this);
            }
            later(random.nextLong(MAX_DELAY.toNanos()), () -> join(current));
            if (requestsPerSecond > 0) {
                nextRequest(current);
            }
        }

        void stop() {
            running = false;
            start++;
        }

        private void join(int current) {
            if (current != start) {
                return;
            }
            later(JOIN_INTERVAL.toNanos(), () -> join(current));
            if (!storeAway && !stale) {
                limits.assign(held, clock.nanos() + LEASE.toNanos());
                if (!holdersHidden) {
                    limits.owners(owners());
                }
            }
        }

        private void hear() {
            for (int i = 0; i < ENDPOINTS; i++) {
                toldNanos[i] = clock.nanos();
                limits.note(endpoints.get(i), notice(), clock.nanos());
            }
        }

        private void send(Address to, LimitMessage message) {
            if (random.nextDouble() >= LOSS) {
                later(random.nextLong(MAX_DELAY.toNanos()), () -> deliver(to, message));
            }
        }

        private void deliver(Address to, LimitMessage message) {
            Node receiver = byAddress.get(to);
            if (receiver.running && (!zonesCut || receiver.zone == zone)) {
                receiver.limits.receive(address, message);
            }
        }

        private void nextRequest(int current) {
            double rate = requestsPerSecond * Math.max(demand, LEAST_DEMAND);
            double seconds = -Math.log(1 - random.nextDouble()) / rate;
            later(
                    (long) (seconds * SECOND_NANOS),
                    () -> {
                        if (current == start) {
                            nextRequest(current);
                            if (demand > 0) {
                                request(current, clock.nanos() + patience.toNanos());
                            }
                        }
                    });
        }

        private void request(int current, long deadline) {
            List<Integer> order = new ArrayList<>(IntStream.range(0, ENDPOINTS).boxed().toList());
            Collections.shuffle(order, new java.util.Random(random.nextLong()));
            tryNext(current, order, deadline);
        }

        private void tryNext(int current, List<Integer> left, long deadline) {
            while (!left.isEmpty()) {
                int number = left.removeFirst();
                Endpoint endpoint = endpoints.get(number);
                if (limits.closedFor(endpoint).isEmpty()) {
                    limits.acquire(endpoint)
                            .thenAccept(
                                    granted -> {
                                        if (granted) {
                                            arrive(current, number);
                                        } else if (current == start) {
                                            tryNext(current, left, deadline);
                                        }
                                    });
                    return;
                }
            }
            if (clock.nanos() < deadline) {
                comeBack(current, deadline);
            }
        }

        /** Lets a refused caller come back when an endpoint may have room again. */
        private void comeBack(int current, long deadline) {
            Duration soonest =
                    endpoints.stream()
                            .map(e -> limits.closedFor(e).orElse(Duration.ZERO))
                            .min(Comparator.naturalOrder())
                            .orElseThrow();
            later(
                    soonest.toNanos() + random.nextLong(RETURN_SPREAD.toNanos()),
                    () -> {
                        if (current == start) {
                            request(current, deadline);
                        }
                    });
        }

        private void arrive(int current, int number) {
            long begun = clock.nanos();
            later(
                    random.nextLong(MAX_DELAY.toNanos()),
                    () -> {
                        long now = clock.nanos();
                        long told = toldNanos[number];
                        arrivals.get(number)
                                .add(
                                        new Arrival(
                                                now, told < now && now - told >= SECOND_NANOS / 2));
                        LimitNotice notice = notice();
                        later(
                                random.nextLong(WORK.toNanos()),
                                () -> {
                                    if (current == start) {
                                        long heard = Math.min(toldNanos[number], clock.nanos());
                                        toldNanos[number] = heard;
                                        limits.note(endpoints.get(number), notice, begun);
                                    }
                                });
                    });
        }
    }

    private LimitNotice notice() {
        return named > 0 ? new LimitNotice.Limited(named) : new LimitNotice.Unlimited();
    }

    private void later(long nanos, Runnable task) {
        clock.after(Duration.ofNanos(nanos), task);
    }

    private Map<Integer, Address> owners() {
        Map<Integer, Address> owners = new HashMap<>();
        nodes.forEach(n -> n.held.forEach(p -> owners.put(p, n.address)));
        return owners;
    }

    /** Deals all partitions anew to the nodes that hold any. */
    void rebalance() {
        Collections.shuffle(holders, new java.util.Random(random.nextLong()));
        nodes.forEach(n -> n.held = new HashSet<>());
        for (int i = 0; i < PARTITIONS; i++) {
            holders.get(i % holders.size()).held.add(i);
        }
    }

    /** Takes a node out of the group, as the platform does that heard nothing of it for a while. */
    private void expire(Node node) {
        if (!node.running) {
            holders.remove(node);
            for (int partition : node.held) {
                holders.get(random.nextInt(holders.size())).held.add(partition);
            }
            node.held = new HashSet<>();
        }
    }

    /** Ends a share of the nodes, and starts them again after a while. */
    void restart(double share, Duration pause) {
        for (Node node : List.copyOf(nodes)) {
            if (random.nextDouble() < share) {
                node.stop();
                later(LEASE.toNanos(), () -> expire(node));
                later(pause.toNanos(), node::start);
            }
        }
    }

    /** Adds a node that has callers. */
    void addNode(double requestsPerSecond) {
        nodes.add(new Node(nodes.size(), requestsPerSecond));
        rebalance();
    }

    /** Sets whether the store answers nobody. */
    void storeAway(boolean away) {
        storeAway = away;
    }

    /** Lets a share of the nodes read no more from the store. */
    void makeStale(double share) {
        nodes.forEach(n -> n.stale = random.nextDouble() < share);
    }

    /** Lets a share of the nodes, as they are now, read no more who holds the partitions. */
    void hideHolders(double share) {
        nodes.forEach(n -> n.holdersHidden = random.nextDouble() < share);
    }

    /** Lets all nodes forget who holds the partitions, and read no more of it. */
    void loseHolders() {
        hideHolders(1);
        nodes.forEach(n -> n.limits.owners(Map.of()));
    }

    /** Sets how much callers want, as a multiple of what they want else; 0 for nothing. */
    void demand(double multiple) {
        demand = multiple;
    }

    /** Counts the requests that nodes without an issuer sent since they started. */
    long unissued() {
        return nodes.stream().mapToLong(n -> n.limits.sentUnissued()).sum();
    }

    /** Sets whether messages between zones are lost. */
    void cutZones(boolean cut) {
        zonesCut = cut;
    }

    /** Steps the wall clock of each node by up to a time. */
    void stepClocks(Duration most) {
        nodes.forEach(n -> n.ownClock.step(random.nextLong(-most.toMillis(), most.toMillis())));
    }

    /** Sets how long a caller that is refused comes back. */
    void patience(Duration time) {
        patience = time;
    }

    /** Lets all nodes hear the endpoints' limits in answers. */
    void hearEverywhere() {
        nodes.forEach(Node::hear);
    }

    /** Changes the limit that endpoints name from now on; 0 for none. */
    void name(double perSecond) {
        named = perSecond;
    }

    void run(Duration time) {
        clock.advance(time);
    }

    /** Returns the most requests that an endpoint got in any window, of nodes that it had told. */
    int most() {
        return arrivals.stream()
                .mapToInt(a -> Arrival.most(a.stream().filter(Arrival::told).toList()))
                .max()
                .orElse(0);
    }

    /** Returns the same of all nodes, whether they had been told or not. */
    int mostOfAll() {
        return arrivals.stream().mapToInt(Arrival::most).max().orElse(0);
    }

    /** Returns the greatest number of requests that the endpoints' operators allow in a window. */
    int allowed() {
        return (int) (1.5 * limit * Arrival.WINDOW_NANOS / SECOND_NANOS) + 5;
    }

    /** Returns the part of the limits that was used in a time that ends now. */
    double used(Duration time) {
        long from = clock.nanos() - time.toNanos();
        long sent =
                arrivals.stream()
                        .mapToLong(a -> a.stream().filter(t -> t.nanos() >= from).count())
                        .sum();
        return part(sent, time);
    }

    /** Returns the part of the limits that a number of requests is in a time. */
    double part(long requests, Duration time) {
        return requests / (limit * ENDPOINTS * time.toNanos() / SECOND_NANOS);
    }
}
