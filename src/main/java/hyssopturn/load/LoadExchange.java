package hyssopturn.load;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Tells other nodes this node's load, adds up theirs where it is asked to, and knows the sums;
 * confined to one event loop.
 *
 * <p>The holder of a partition adds up the scopes that are hashed to it, and the holder of the next
 * partition stands in for it. Sums of too few nodes, or too old, are not used.
 */
public final class LoadExchange implements LoadView {
    /** Part of the known nodes that a sum must hold; two of three zones are enough. */
    static final double MIN_COVERAGE = 0.6;

    /** Interval of questions about this node's own zone while few nodes ask. */
    static final Duration INTERVAL = Duration.ofMillis(250);

    /** Interval of questions about other zones, and about services without streams. */
    static final Duration SLOW_INTERVAL = Duration.ofSeconds(1);

    /** Number of nodes above which each asks less often, so that those asked can keep up. */
    private static final double NODES_AT_INTERVAL = 200;

    private static final double MAX_STRETCH = 2;

    private static final Duration TICK = Duration.ofMillis(50);

    /** Interval at which the list of scopes is read again. */
    private static final Duration SCOPES_INTERVAL = Duration.ofSeconds(1);

    /** Least time between two reads of the holders because one of them has changed. */
    private static final Duration OWNERS_INTERVAL = Duration.ofSeconds(5);

    /** Lateness of a tick that shows that this node was paused. */
    private static final Duration PAUSE = Duration.ofSeconds(1);

    /** Time after a pause during which no sums are told, as long as it takes to hear all nodes. */
    private static final Duration RECOVERY = Duration.ofMillis(1_200);

    /** Bound of the ratio of streams asked for to streams started, which few streams inflate. */
    private static final double MAX_ASKED_PER_STARTED = 4;

    private static final double JITTER = 0.1;
    private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final Address self;
    private final String zone;
    private final int partitions;
    private final int minNodes;
    private final Clock clock;
    private final RandomGenerator random;
    private final LoadChannel channel;
    private final OwnLoad own;
    private final Supplier<Set<LoadScope>> listScopes;
    private final Function<InstanceId, Optional<LoadScope>> scopeOf;
    private final long start;
    private final LoadSums sums = new LoadSums();
    private final Map<LoadScope, ScopeQuery> queries = new HashMap<>();
    private TreeMap<Integer, Address> owners = new TreeMap<>();
    private Set<Integer> assigned = Set.of();
    private int knownNodes;
    private boolean outdated;
    private long ownersNanos;
    private long sequence;
    private long tickNanos;
    private long scopesReadNanos;
    private long silentUntilNanos;
    private boolean scopesRead;
    private long sent;
    private long received;
    private long dropped;

    /**
     * Creates an exchange that is not started.
     *
     * @param self address at which other nodes send messages about load to this one
     * @param zone availability zone of this node
     * @param partitions number of partitions that nodes hold
     * @param minNodes number of nodes from which on loads are exchanged
     * @param clock clock and timer
     * @param random source of the jitter of messages
     * @param channel sends messages
     * @param own this node's own load
     * @param listScopes returns the scopes that this node wants to know about
     * @param scopeOf returns the scope of an engine, empty if the engine is unknown
     */
    public LoadExchange(
            Address self,
            String zone,
            int partitions,
            int minNodes,
            Clock clock,
            RandomGenerator random,
            LoadChannel channel,
            OwnLoad own,
            Supplier<Set<LoadScope>> listScopes,
            Function<InstanceId, Optional<LoadScope>> scopeOf) {
        this.self = self;
        this.zone = zone;
        this.partitions = partitions;
        this.minNodes = minNodes;
        this.clock = clock;
        this.random = random;
        this.channel = channel;
        this.own = own;
        this.listScopes = listScopes;
        this.scopeOf = scopeOf;
        start = clock.wallMillis();
    }

    /** Starts to exchange loads. */
    public void start() {
        tickNanos = clock.nanos();
        clock.after(jitter(TICK), this::tick);
    }

    /**
     * Sets the holders of the partitions.
     *
     * @param current addresses at which nodes receive messages about load, by the number of the
     *     partition
     */
    public void owners(Map<Integer, Address> current) {
        owners = new TreeMap<>(current);
        outdated = false;
        ownersNanos = clock.nanos();
        knownNodes = new HashSet<>(current.values()).size();
        queries.forEach((scope, query) -> query.direct(summingNodes(scope)));
    }

    /**
     * Sets the partitions that this node holds.
     *
     * @param held their numbers
     */
    public void assign(Set<Integer> held) {
        assigned = Set.copyOf(held);
    }

    /**
     * Returns whether the holders of the partitions should be read again.
     *
     * @return true after a node said that it does not hold a partition any more
     */
    public boolean ownersOutdated() {
        return outdated;
    }

    private void tick() {
        long now = clock.nanos();
        clock.after(TICK, this::tick);
        if (now - tickNanos - TICK.toNanos() >= PAUSE.toNanos()) {
            sums.clear();
            silentUntilNanos = now + RECOVERY.toNanos();
        }
        tickNanos = now;
        sums.expire(now);
        if (!scopesRead || now - scopesReadNanos >= SCOPES_INTERVAL.toNanos()) {
            readScopes(now);
        }
        if (knownNodes >= minNodes) {
            queries.forEach((scope, query) -> ask(scope, query, now));
        }
    }

    private void readScopes(long now) {
        scopesRead = true;
        scopesReadNanos = now;
        Set<LoadScope> wanted = listScopes.get();
        queries.keySet().retainAll(wanted);
        for (LoadScope scope : wanted) {
            queries.computeIfAbsent(
                    scope,
                    s -> {
                        ScopeQuery query = new ScopeQuery();
                        query.direct(summingNodes(s));
                        return query;
                    });
        }
    }

    /** Returns the holder of the scope's partition, and the next one that is another node. */
    private List<Address> summingNodes(LoadScope scope) {
        int partition = scope.partition(partitions);
        List<Address> inOrder = new ArrayList<>(owners.tailMap(partition).values());
        inOrder.addAll(owners.headMap(partition).values());
        return inOrder.stream().distinct().limit(2).toList();
    }

    private void ask(LoadScope scope, ScopeQuery query, long now) {
        List<ScopeQuery.Target> due = query.due(interval(scope, query, now), now);
        if (due.isEmpty()) {
            return;
        }
        MeasuredLoad load = own.measure(scope, zone, now);
        for (ScopeQuery.Target target : due) {
            long number = ++sequence;
            target.sent(number, load.engines(), now);
            send(
                    target.address().orElseThrow(),
                    new LoadMessage.Report(
                            scope,
                            start,
                            number,
                            query.standsIn(target),
                            target.names(),
                            load,
                            LoadMessage.Fragment.WHOLE));
        }
    }

    private Duration interval(LoadScope scope, ScopeQuery query, long now) {
        if (!scope.zone().equals(zone) || !own.inUse(scope.service(), now)) {
            return jitter(SLOW_INTERVAL);
        }
        double nodes = query.best(now).map(k -> k.message().nodes()).orElse(knownNodes);
        double stretch = Math.clamp(nodes / NODES_AT_INTERVAL, 1, MAX_STRETCH);
        return jitter(Duration.ofNanos((long) (INTERVAL.toNanos() * stretch)));
    }

    private Duration jitter(Duration interval) {
        double factor = 1 + JITTER * (2 * random.nextDouble() - 1);
        return Duration.ofNanos((long) (interval.toNanos() * factor));
    }

    private void send(Address to, LoadMessage message) {
        if (to.equals(self)) {
            handle(self, message);
            return;
        }
        sent++;
        channel.send(to, message);
    }

    /**
     * Handles a message of another node.
     *
     * @param from address of the sender
     * @param message the message
     */
    public void receive(Address from, LoadMessage message) {
        received++;
        handle(from, message);
    }

    /** Counts a message that could not be decoded. */
    public void recordMalformed() {
        received++;
        dropped++;
    }

    private void handle(Address from, LoadMessage message) {
        boolean used =
                switch (message) {
                    case LoadMessage.Report report -> answer(from, report);
                    case LoadMessage.Sum sum -> learn(from, sum);
                };
        if (!used) {
            dropped++;
        }
    }

    private boolean answer(Address from, LoadMessage.Report report) {
        long now = clock.nanos();
        int partition = report.scope().partition(partitions);
        boolean misdirected = !report.standIn() && !assigned.contains(partition);
        Optional<LoadMessage.Sum> answer = sums.receive(from, report, misdirected, now);
        boolean mayAnswer = now - silentUntilNanos >= 0;
        answer.filter(a -> mayAnswer).ifPresent(sum -> send(from, sum));
        return answer.isPresent() || report.fragment().count() > 1;
    }

    private boolean learn(Address from, LoadMessage.Sum sum) {
        ScopeQuery query = queries.get(sum.scope());
        if (query == null || sum.start() != start || !query.receive(from, sum)) {
            return false;
        }
        outdated |= sum.misdirected() && clock.nanos() - ownersNanos >= OWNERS_INTERVAL.toNanos();
        return true;
    }

    @Override
    public Optional<ZoneLoad> zone(String service, String clientZone) {
        long now = clock.nanos();
        return known(new LoadScope(service, clientZone), now)
                .map(
                        k ->
                                new ZoneLoad(
                                        clientZone,
                                        k.message().nodes(),
                                        k.message().load().priorities(),
                                        k.message().age().plusNanos(now - k.sentNanos())));
    }

    @Override
    public OptionalDouble usedTokens(InstanceId engine) {
        long now = clock.nanos();
        Optional<LoadScope> scope = scopeOf.apply(engine);
        Optional<ScopeQuery.Known> known = scope.flatMap(s -> known(s, now));
        if (known.isEmpty()) {
            return OptionalDouble.empty();
        }
        MeasuredLoad load = known.get().message().load();
        double growth = Math.max(0, load.startedTokens() - load.endedTokens());
        return OptionalDouble.of(
                known.get().othersTokens(engine)
                        + own.tokens(scope.get(), engine)
                        + othersPart(known.get())
                                * growth
                                * ageSeconds(known.get(), now)
                                / Math.max(1, load.engines().size()));
    }

    @Override
    public double uncertainTokens(InstanceId engine) {
        long now = clock.nanos();
        Optional<ScopeQuery.Known> found = scopeOf.apply(engine).flatMap(s -> known(s, now));
        if (found.isEmpty()) {
            return 0;
        }
        ScopeQuery.Known known = found.get();
        MeasuredLoad load = known.message().load();
        return othersPart(known)
                * load.startedTokens()
                * ageSeconds(known, now)
                / Math.max(1, load.engines().size());
    }

    @Override
    public double askedPerStarted(InstanceId engine) {
        long now = clock.nanos();
        Optional<ScopeQuery.Known> known = scopeOf.apply(engine).flatMap(s -> known(s, now));
        if (known.isEmpty()) {
            return 1;
        }
        double asked = 0;
        double started = 0;
        for (PriorityLoad load : known.get().message().load().priorities()) {
            asked += load.askedPerSecond();
            started += load.startedPerSecond();
        }
        return started == 0 ? 1 : Math.clamp(asked / started, 1, MAX_ASKED_PER_STARTED);
    }

    /** Returns the part of a sum that is not this node's own, if all nodes are alike. */
    private static double othersPart(ScopeQuery.Known known) {
        int nodes = Math.max(1, known.message().nodes());
        return (nodes - 1.0) / nodes;
    }

    /** Returns the mean age of the reports in a sum: about half of the oldest one's. */
    private static double ageSeconds(ScopeQuery.Known known, long nowNanos) {
        return (nowNanos - known.sentNanos() + known.message().age().toNanos() / 2) / SECOND_NANOS;
    }

    private Optional<ScopeQuery.Known> known(LoadScope scope, long now) {
        if (knownNodes < minNodes) {
            return Optional.empty();
        }
        return Optional.ofNullable(queries.get(scope))
                .flatMap(q -> q.best(now))
                .filter(k -> k.message().nodes() >= MIN_COVERAGE * knownNodes);
    }

    /**
     * Returns the least number of nodes in a sum about this node's zone.
     *
     * @return the number, 0 if a sum is missing
     */
    public int nodesHeard() {
        return ownZoneScopes().stream()
                .mapToInt(s -> known(s, clock.nanos()).map(k -> k.message().nodes()).orElse(0))
                .min()
                .orElse(0);
    }

    /**
     * Returns the greatest age of what is known of the load in this node's zone.
     *
     * @return the age in seconds, infinite if a sum is missing
     */
    public double ageSeconds() {
        long now = clock.nanos();
        return ownZoneScopes().stream()
                .mapToDouble(
                        s ->
                                known(s, now)
                                        .map(k -> ageSeconds(k, now))
                                        .orElse(Double.POSITIVE_INFINITY))
                .max()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private List<LoadScope> ownZoneScopes() {
        return queries.keySet().stream().filter(s -> s.zone().equals(zone)).toList();
    }

    /**
     * Returns the number of messages sent to other nodes.
     *
     * @return the number
     */
    public long sent() {
        return sent;
    }

    /**
     * Returns the number of messages received.
     *
     * @return the number, those that were dropped included
     */
    public long received() {
        return received;
    }

    /**
     * Returns the number of received messages that were malformed, unexpected or too old.
     *
     * @return the number
     */
    public long dropped() {
        return dropped;
    }
}
