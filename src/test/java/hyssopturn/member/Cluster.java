package hyssopturn.member;

import hyssopturn.event.EventRing;
import hyssopturn.event.HybridClock;
import hyssopturn.member.MemberSettings.Spread;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.RequestId;
import hyssopturn.model.Zone;
import hyssopturn.peer.MemberCodec;
import hyssopturn.port.EngineClient;
import hyssopturn.port.Instance;
import hyssopturn.port.InstanceList;
import hyssopturn.port.PeerLink;
import hyssopturn.port.RefusedException;
import hyssopturn.standin.MemoryPeers;
import hyssopturn.standin.VirtualClock;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Simulated cluster: directories with in-memory links, instance list and engines in virtual time.
 */
final class Cluster {
    static final ModelId MODEL = new ModelId("atelier", "1");
    private static final int LAYERS = 12;
    private static final int RANGES = 3;

    final VirtualClock clock = new VirtualClock(1_000_000);
    final SplittableRandom random;
    final MemoryPeers peers;
    final Map<InstanceId, Member> members = new TreeMap<>();
    final Map<InstanceId, Engine> engines = new TreeMap<>();
    final Map<Address, Engine> listening = new HashMap<>();
    final Map<InstanceId, Instance> listed = new TreeMap<>();
    private final Duration listLag;
    private final PartnerChoice choice;
    private final Spread spread;
    private final int zones;
    private Predicate<Fact> factFilter = f -> true;
    private int nextPort = 1;
    private long incarnations = 1_000_000;
    long polls;
    long listReads;

    /** A simulated node. */
    static final class Member {
        final Instance instance;
        final Directory directory;
        final PausableClock clock;
        final Config config = new Config();

        Member(Instance instance, PausableClock clock, DirectoryFactory factory) {
            this.instance = instance;
            this.clock = clock;
            directory = factory.directory(instance, clock, config);
        }
    }

    private interface DirectoryFactory {
        Directory directory(Instance self, PausableClock clock, ConfigSource config);
    }

    /** Configuration of a simulated node. */
    static final class Config implements ConfigSource {
        long version;
        Optional<Bytes> document = Optional.empty();

        @Override
        public long version() {
            return version;
        }

        @Override
        public Optional<Bytes> document() {
            return document;
        }

        @Override
        public void offer(Bytes offered) {
            set(Long.parseLong(offered.text().substring(0, offered.text().indexOf(':'))), offered);
        }

        void set(long newVersion, Bytes newDocument) {
            if (newVersion > version) {
                version = newVersion;
                document = Optional.of(newDocument);
            }
        }
    }

    /** A simulated engine. */
    static final class Engine {
        final Instance instance;
        boolean answers = true;
        boolean draining;

        Engine(Instance instance) {
            this.instance = instance;
        }
    }

    Cluster(long seed, int zones, Duration listLag, PartnerChoice choice, Spread spread) {
        random = new SplittableRandom(seed);
        peers = new MemoryPeers(clock, random.split());
        peers.delay(Duration.ofMillis(1), Duration.ofMillis(5));
        this.zones = zones;
        this.listLag = listLag;
        this.choice = choice;
        this.spread = spread;
    }

    Zone zone(int index) {
        int zone = index % zones;
        return new Zone(zone < Math.ceilDiv(zones, 2) ? "east" : "west", "z" + zone);
    }

    long incarnation() {
        return ++incarnations;
    }

    Address address() {
        nextPort++;
        return new Address("10.0." + (nextPort >> 8) + "." + (nextPort & 255), 7_000);
    }

    Member node(String name, int zone) {
        Instance self =
                new Instance(
                        new InstanceId(name),
                        incarnation(),
                        new Instance.Role.Node(address()),
                        address(),
                        zone(zone),
                        false);
        Member member = new Member(self, new PausableClock(clock), this::directory);
        members.put(self.id(), member);
        list(self);
        member.directory.start();
        return member;
    }

    private Directory directory(Instance self, PausableClock nodeClock, ConfigSource config) {
        MemberSettings standard = MemberSettings.standard(self, Duration.ofMillis(500));
        MemberSettings settings =
                new MemberSettings(
                        self,
                        standard.pollInterval(),
                        standard.roundInterval(),
                        standard.partnerCount(),
                        choice,
                        spread,
                        standard.bytesPerSecond(),
                        standard.burstBytes(),
                        standard.subsetSize());
        return new Directory(
                settings,
                new ListPort(nodeClock),
                new EnginePort(nodeClock),
                link(self.id(), nodeClock),
                new FilteringCodec(),
                config,
                nodeClock,
                random.split(),
                new EventRing(self.id(), new HybridClock(nodeClock), 16));
    }

    private PeerLink link(InstanceId id, PausableClock nodeClock) {
        PeerLink link = peers.link(id);
        return new PeerLink() {
            @Override
            public boolean send(InstanceId to, Topic topic, Bytes message) {
                return link.send(to, topic, message);
            }

            @Override
            public void setReceiver(Topic topic, BiConsumer<InstanceId, Bytes> receiver) {
                link.setReceiver(
                        topic, (from, bytes) -> nodeClock.run(() -> receiver.accept(from, bytes)));
            }
        };
    }

    void kill(InstanceId node) {
        Member member = members.remove(node);
        member.directory.stop();
        member.clock.kill();
        peers.remove(node);
        unlist(node);
    }

    Engine engine(String name, int zone, Address address) {
        Instance instance =
                new Instance(
                        new InstanceId(name),
                        incarnation(),
                        new Instance.Role.Engine("a100", 80L << 30, true),
                        address,
                        zone(zone),
                        false);
        Engine engine = new Engine(instance);
        engines.put(instance.id(), engine);
        listening.put(address, engine);
        list(instance);
        return engine;
    }

    void stop(Engine engine) {
        engine.answers = false;
        engines.remove(engine.instance.id(), engine);
        listening.remove(engine.instance.address(), engine);
        unlist(engine.instance.id());
    }

    void list(Instance instance) {
        clock.after(listLag, () -> listed.put(instance.id(), instance));
    }

    void unlist(InstanceId id) {
        Instance before = listed.get(id);
        clock.after(listLag, () -> listed.remove(id, before));
    }

    /** Drops received facts for which a predicate is false. */
    void filterFacts(Predicate<Fact> newFilter) {
        factFilter = newFilter;
    }

    private final class FilteringCodec implements MessageCodec {
        private final MemberCodec codec = new MemberCodec();

        @Override
        public Bytes encode(Message message) {
            return codec.encode(message);
        }

        @Override
        public Optional<Message> decode(Bytes bytes) {
            return codec.decode(bytes).map(this::filter);
        }

        private Message filter(Message message) {
            if (!(message instanceof Message.Delta d)) {
                return message;
            }
            return new Message.Delta(
                    d.incarnation(),
                    d.session(),
                    d.serial(),
                    d.wantsReply(),
                    d.configVersion(),
                    d.confirmedIncarnation(),
                    d.confirmedPositions(),
                    d.sections().stream().map(this::filter).toList());
        }

        private Message.Section filter(Message.Section section) {
            return new Message.Section(
                    section.priority(),
                    section.from(),
                    section.to(),
                    section.entries().stream().filter(e -> factFilter.test(e.fact())).toList());
        }

        @Override
        public FactEntry toEntry(Fact fact) {
            return codec.toEntry(fact);
        }
    }

    private final class ListPort implements InstanceList {
        private final PausableClock nodeClock;

        ListPort(PausableClock nodeClock) {
            this.nodeClock = nodeClock;
        }

        @Override
        public CompletableFuture<List<Instance>> list() {
            listReads++;
            return later(nodeClock, Optional.of(List.copyOf(listed.values())));
        }

        @Override
        public CompletableFuture<Void> announce(Instance self) {
            throw new UnsupportedOperationException();
        }
    }

    private <T> CompletableFuture<T> later(PausableClock nodeClock, Optional<T> value) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable arrive =
                () ->
                        value.ifPresentOrElse(
                                result::complete,
                                () ->
                                        result.completeExceptionally(
                                                new RefusedException(
                                                        RefusedException.Reason.UNREACHABLE,
                                                        "down")));
        nodeClock.after(Duration.ofMillis(2), arrive);
        return result;
    }

    private EngineClient.EngineReport report(Engine engine) {
        int index = Math.floorMod(engine.instance.id().hashCode(), RANGES);
        int size = LAYERS / RANGES;
        long wave = clock.nanos() / 3_000_000_000L * 31 + engine.instance.id().hashCode();
        int running = Math.floorMod((wave * 0x9e3779b97f4a7c15L) >>> 40, 32);
        return new EngineClient.EngineReport(
                List.of(
                        new EngineClient.Holding(
                                MODEL,
                                new LayerRange(index * size, (index + 1) * size),
                                List.of(),
                                EngineClient.Phase.BOTH)),
                List.of(),
                running,
                running / 4,
                100_000 - running * 1_000L,
                20 + running,
                engine.draining,
                0);
    }

    private final class EnginePort implements EngineClient {
        private final PausableClock nodeClock;

        EnginePort(PausableClock nodeClock) {
            this.nodeClock = nodeClock;
        }

        @Override
        public CompletableFuture<EngineReport> report(Address address) {
            polls++;
            Optional<Engine> engine =
                    Optional.ofNullable(listening.get(address)).filter(e -> e.answers);
            return later(nodeClock, engine.map(Cluster.this::report));
        }

        @Override
        public CompletableFuture<StepResult> step(Address engine, Step step, Dial dial) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> cancel(Address engine, RequestId request, int attempt) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<KvState> exportKv(
                Address engine, RequestId request, LayerRange layers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> importKv(
                Address engine, RequestId request, int attempt, KvState state) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> order(Address engine, Order order) {
            throw new UnsupportedOperationException();
        }
    }
}
