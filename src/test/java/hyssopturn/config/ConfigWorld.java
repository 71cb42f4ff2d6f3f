package hyssopturn.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.lease.LeaseController;
import hyssopturn.lease.LeaseTiming;
import hyssopturn.model.Bytes;
import hyssopturn.model.Config;
import hyssopturn.model.InstanceId;
import hyssopturn.port.LogPage;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.Suspendable;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Simulated nodes, operators and a failing log under virtual time, with the oracle over them. */
final class ConfigWorld {
    static final int NODES = 4;
    static final Duration IN_FORCE = Duration.ofSeconds(5);

    private static final Duration RETENTION = Duration.ofSeconds(45);
    private static final Duration GOSSIP = Duration.ofSeconds(1);
    private static final Duration STEP = Duration.ofMillis(250);
    private static final Duration ANSWERING = Duration.ofSeconds(15);
    private static final Duration SETTLING = Duration.ofSeconds(40);
    private static final Seal SEAL = new Seal("secret");

    enum Fault {
        RUN,
        PUBLISH,
        RACE,
        STALE,
        INVALID,
        JUNK,
        PAUSE,
        WAKE,
        CUT,
        JOIN,
        RESTART,
        RESTART_ALL,
        LOSE_ANSWERS,
        SLOW,
        QUICK,
        DOWN,
        UP
    }

    record Happening(Fault fault, int node, int span) {}

    enum Mutation {
        NONE,
        BASE_IGNORED,
        RETENTION_IGNORED,
        GAP_IGNORED
    }

    private record Kept(long offset, long atNanos, Bytes data) {}

    private record Node(Suspendable process, ConfigController config, List<Config> history) {}

    private final VirtualClock clock = new VirtualClock(0);
    private final MemoryLog log = new MemoryLog(clock);
    private final Mutation mutation;
    private final Node[] nodes = new Node[NODES];
    private long seen;
    private final Deque<Kept> kept = new ArrayDeque<>();
    private final Map<String, CompletableFuture<Published>> publications = new HashMap<>();
    private final Map<Long, String> accepted = new TreeMap<>();
    private final Map<Long, Long> acceptedAt = new HashMap<>();
    private long current;
    private long quietSince;
    private int names;
    private boolean down;
    private boolean slow;

    private ConfigWorld(Mutation mutation) {
        this.mutation = mutation;
        for (int i = 0; i < NODES; i++) {
            boot(i);
        }
        advance(Duration.ofSeconds(4));
    }

    static ConfigWorld run(List<Happening> happenings, Mutation mutation) {
        ConfigWorld world = new ConfigWorld(mutation);
        happenings.forEach(world::happen);
        world.calm();
        return world;
    }

    List<Long> accepted() {
        return List.copyOf(accepted.keySet());
    }

    private void boot(int i) {
        Suspendable process = new Suspendable(clock, log, 1);
        ConfigController config =
                new ConfigController(process, process, fold(), new SimpleMeterRegistry());
        LeaseController lease =
                new LeaseController(
                        new InstanceId("node-" + i),
                        process,
                        process,
                        new SplittableRandom(i + clock.nanos()),
                        LeaseTiming.STANDARD,
                        held -> {},
                        new SimpleMeterRegistry());
        Node node = new Node(process, config, new ArrayList<>());
        config.listen(node.history()::add);
        config.start();
        lease.start();
        if (mutation != Mutation.RETENTION_IGNORED) {
            new Snapshotter(
                            config,
                            process,
                            process,
                            () -> lease.term().isPresent(),
                            RETENTION,
                            new SimpleMeterRegistry())
                    .start();
        }
        nodes[i] = node;
    }

    private ConfigFold fold() {
        return switch (mutation) {
            case NONE, RETENTION_IGNORED -> new ConfigFold(SEAL);
            case BASE_IGNORED ->
                    new ConfigFold(SEAL) {
                        @Override
                        boolean onTop(FoldState state, ConfigRecord.Publication record) {
                            return true;
                        }
                    };
            case GAP_IGNORED ->
                    new ConfigFold(SEAL) {
                        @Override
                        public FoldState open(FoldState state, long first) {
                            return state;
                        }
                    };
        };
    }

    private void happen(Happening h) {
        Node node = nodes[h.node()];
        switch (h.fault()) {
            case RUN -> {}
            case PUBLISH -> publish(OptionalLong.empty());
            case RACE -> {
                publish(OptionalLong.of(current));
                publish(OptionalLong.of(current));
            }
            case STALE -> append(new ConfigRecord.Publication(name(), 0, Documents.valid(names)));
            case INVALID ->
                    append(new ConfigRecord.Publication(name(), current, Documents.invalid()));
            case JUNK -> {
                log.append(ConfigController.STREAM, Bytes.utf8("junk {"));
                log.append(
                        ConfigController.STREAM,
                        Bytes.wrap(new byte[ConfigRecord.MAX_BYTES + h.span()]));
            }
            case PAUSE -> pause(node);
            case WAKE -> node.process().wake();
            case CUT -> node.process().cut(true);
            case JOIN -> node.process().cut(false);
            case RESTART -> restart(h.node());
            case RESTART_ALL -> restartAll();
            case LOSE_ANSWERS -> log.loseAnswers(h.span() % 4);
            case SLOW -> slow(true);
            case QUICK -> slow(false);
            case DOWN -> down(true);
            case UP -> down(false);
        }
        advance(Duration.ofMillis(500L * h.span()));
    }

    /** Pauses a node, but never the last one: what nobody remembers nobody can tell. */
    private void pause(Node node) {
        long running = List.of(nodes).stream().filter(n -> n.process().running()).count();
        if (running > 1) {
            node.process().pause();
        }
    }

    private void restart(int i) {
        nodes[i].process().kill();
        boot(i);
    }

    /** Restarts all at once, once the log has kept a snapshot since its last outage. */
    private void restartAll() {
        boolean unhurt = List.of(nodes).stream().allMatch(n -> n.process().running());
        if (unhurt && !down && !slow && clock.nanos() - quietSince > SETTLING.toNanos()) {
            for (int i = 0; i < NODES; i++) {
                restart(i);
            }
        }
    }

    private void slow(boolean value) {
        slow = value;
        quietSince = clock.nanos();
        slowness();
    }

    private void slowness() {
        log.latency(slow ? Duration.ofMillis(400) : Duration.ZERO);
    }

    private void down(boolean value) {
        down = value;
        quietSince = clock.nanos();
        log.down(value);
    }

    private String name() {
        return "publication-" + ++names;
    }

    private void append(ConfigRecord record) {
        log.append(ConfigController.STREAM, record.encode());
    }

    private void publish(OptionalLong base) {
        String name = name();
        publications.put(
                name,
                Publisher.publish(log, clock, SEAL, name, Documents.valid(names), base, ANSWERING));
    }

    private void advance(Duration span) {
        long end = clock.nanos() + span.toNanos();
        while (clock.nanos() < end) {
            clock.advance(STEP);
            observe();
            if (clock.nanos() % GOSSIP.toNanos() == 0) {
                gossip();
            }
            check();
        }
    }

    /** Reads what was appended, behind everybody's back, and lets the log drop what is old. */
    private void observe() {
        if (down) {
            return;
        }
        log.latency(Duration.ZERO);
        LogPage page = log.read(ConfigController.STREAM, seen + 1, 10_000, Duration.ZERO).join();
        slowness();
        for (LogPage.Entry entry : page.records()) {
            Kept record = new Kept(entry.offset(), clock.nanos(), entry.data());
            seen = entry.offset();
            kept.add(record);
            judge(record);
        }
        while (!kept.isEmpty() && clock.nanos() - kept.peek().atNanos() > RETENTION.toNanos()) {
            log.truncate(ConfigController.STREAM, kept.poll().offset() + 1);
        }
    }

    /** The naive fold of the oracle, over the whole history. */
    private void judge(Kept record) {
        if (record.data().size() > ConfigRecord.MAX_BYTES) {
            return;
        }
        if (ConfigRecord.decode(record.data()).orElse(null)
                        instanceof ConfigRecord.Publication publication
                && (publication.base() == current || publication.base() == ConfigRecord.ANY_BASE)
                && !publication.document().equals(Documents.invalid())) {
            current = record.offset();
            accepted.put(current, publication.publication());
            acceptedAt.put(current, clock.nanos());
        }
    }

    private void gossip() {
        for (Node from : nodes) {
            if (from.process().running()) {
                from.config().accepted().map(AcceptedDocument::encode).ifPresent(this::toAll);
            }
        }
    }

    private void toAll(Bytes data) {
        AcceptedDocument document = AcceptedDocument.decode(data).orElseThrow();
        for (Node to : nodes) {
            to.process().run(() -> to.config().offer(document));
        }
    }

    private void check() {
        for (Node node : nodes) {
            long before = 0;
            for (Config config : node.history()) {
                assertThat("versions rise", config.version(), greaterThan(before));
                assertThat("accepted", accepted.containsKey(config.version()), is(true));
                before = config.version();
            }
        }
        checkInForce();
    }

    /**
     * What any running node holds, or what the log has said long enough, all running nodes hold.
     */
    private void checkInForce() {
        if (!accepted.isEmpty() && !down && !slow && since(quietSince) && since(acceptedAt())) {
            for (Node node : nodes) {
                boolean fresh = node.process().running();
                boolean late = fresh && since(wokenAt(node));
                assertThat(
                        "in force within 5 s at a running node",
                        late && node.config().current().version() < current,
                        is(false));
            }
        }
    }

    private final Map<Node, Long> lastStopped = new HashMap<>();

    private long wokenAt(Node node) {
        if (!node.process().running()) {
            lastStopped.put(node, clock.nanos());
        }
        return lastStopped.computeIfAbsent(node, n -> clock.nanos());
    }

    private long acceptedAt() {
        return acceptedAt.get(current);
    }

    private boolean since(long nanos) {
        return clock.nanos() - nanos > IN_FORCE.toNanos();
    }

    private void calm() {
        down(false);
        slow(false);
        log.loseAnswers(0);
        for (Node node : nodes) {
            node.process().cut(false);
            node.process().wake();
        }
        advance(SETTLING);
        for (Node node : nodes) {
            assertThat("in force after calm", node.config().current().version(), is(current));
        }
        publications.forEach(this::checkAnswer);
        long before = current;
        boolean first = accepted.isEmpty();
        publish(first ? OptionalLong.of(ConfigRecord.ANY_BASE) : OptionalLong.empty());
        advance(IN_FORCE);
        assertThat("a publication after calm is accepted", current, greaterThan(before));
        assertThat(before, lessThanOrEqualTo(nodes[0].config().current().version()));
    }

    private void checkAnswer(String name, CompletableFuture<Published> answer) {
        boolean inForce = accepted.containsValue(name);
        switch (answer.join()) {
            case Published.Accepted said -> assertThat(accepted.get(said.version()), is(name));
            case Published.Rejected said ->
                    assertThat("rejected " + said.verdict(), inForce, is(false));
            case Published.NotSent said -> assertThat("not sent", inForce, is(false));
            case Published.Unknown said -> {}
        }
    }
}
