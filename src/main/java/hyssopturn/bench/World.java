package hyssopturn.bench;

import hyssopturn.config.ConfigController;
import hyssopturn.config.ConfigRecord;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.ModelId;
import hyssopturn.model.Zone;
import hyssopturn.node.Node;
import hyssopturn.node.NodeSettings;
import hyssopturn.node.Ports;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;
import hyssopturn.port.Instance;
import hyssopturn.port.WeightStore;
import hyssopturn.standin.FakeEngine;
import hyssopturn.standin.FakeService;
import hyssopturn.standin.LocalEngines;
import hyssopturn.standin.LocalServices;
import hyssopturn.standin.MemoryInstances;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.MemoryPeers;
import hyssopturn.standin.MemoryWeights;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Whole nodes and all stand-ins in one thread, under virtual time. */
final class World {
    private static final long PEER_SEED = 5;
    private static final Duration LIST_LAG = Duration.ofSeconds(1);
    private static final Duration FOREVER = Duration.ofDays(10);
    private static final Duration SERVICE_TIME = Duration.ofMillis(20);
    private static final Duration READY_STEP = Duration.ofMillis(100);
    private static final int READY_STEPS = 100;
    private static final int FIRST_NODE_PORT = 20_000;
    private static final int FIRST_SERVICE_PORT = 30_000;
    private static final long MEMORY = 16L << 30;

    private final Site site;
    private final Scenario scenario;
    private final Variant variant;
    private final Fleet fleet;
    private final long seed;
    private final VirtualClock clock = new VirtualClock(0);
    private final MemoryPeers peers = new MemoryPeers(clock, new Random(PEER_SEED));
    private final MemoryLog log = new MemoryLog(clock);
    private final MemoryInstances instances = new MemoryInstances(clock, LIST_LAG, FOREVER);
    private final LocalEngines engines = new LocalEngines(clock);
    private final LocalServices services = new LocalServices();
    private final List<Node> nodes = new ArrayList<>();
    private int started;
    private long originNanos;

    World(Site site, Scenario scenario, Variant variant, Fleet fleet, long seed) {
        this.site = site;
        this.scenario = scenario;
        this.variant = variant;
        this.fleet = fleet;
        this.seed = seed;
    }

    /** Starts everything and waits until all nodes are ready. */
    void start() {
        log.append(
                ConfigController.STREAM,
                new ConfigRecord.Publication("bench", 0, site.document()).encode());
        fleet.engines().forEach(this::startEngine);
        for (int i = 0; i < site.services(); i++) {
            startService(i);
        }
        for (int i = 0; i < site.nodes(); i++) {
            nodes.add(startNode(site.zones().get(i % site.zones().size())));
        }
        for (int i = 0; i < READY_STEPS; i++) {
            clock.advance(READY_STEP);
        }
        originNanos = clock.nanos();
        scenario.fault().ifPresent(this::plan);
    }

    private void startEngine(Fleet.Engine engine) {
        ModelId model = new ModelId(Site.MODEL, "1");
        Holding holding = new Holding(model, engine.layers(), List.of(), Phase.BOTH);
        engines.add(
                engine.address(),
                new FakeEngine(engine.profile(), List.of(holding), Site.LAYERS, true, clock),
                Fleet.DELAY);
        Instance.Role role = new Instance.Role.Engine(engine.profile().accelerator(), MEMORY, true);
        instances.announce(instance(engine.id(), role, engine.address(), zone(engine)));
    }

    private Zone zone(Fleet.Engine engine) {
        return site.zones().get(engine.zone());
    }

    private Instance instance(InstanceId id, Instance.Role role, Address address, Zone zone) {
        return new Instance(id, 1 + clock.nanos(), role, address, zone, false);
    }

    private void startService(int index) {
        Address address = new Address("10.0.0.2", FIRST_SERVICE_PORT + index);
        services.add(address, new FakeService(clock, SERVICE_TIME));
        InstanceId id = new InstanceId(site.service() + "-" + index);
        Instance.Role role = new Instance.Role.Service(site.service());
        Zone zone = site.zones().get(index % site.zones().size());
        instances.announce(instance(id, role, address, zone));
    }

    private Node startNode(Zone zone) {
        int number = started++;
        Address address = new Address("10.0.0.3", FIRST_NODE_PORT + number);
        InstanceId id = new InstanceId("node-" + number);
        Instance self = instance(id, new Instance.Role.Node(address), address, zone);
        NodeSettings settings = NodeSettings.trial(zone).withAdmit(variant.admit());
        Node node =
                new Node(
                        self,
                        settings,
                        ports(id, seed * 1_000 + number),
                        new SimpleMeterRegistry());
        node.start();
        return node;
    }

    private Ports ports(InstanceId id, long nodeSeed) {
        WeightStore weights =
                new MemoryWeights(new WeightStore.Weights(Site.LAYERS, 64L << 20, 1L << 30));
        return new Ports(
                log,
                instances,
                weights,
                engines,
                services,
                peers.link(id),
                clock,
                new Random(nodeSeed));
    }

    private void plan(Fault fault) {
        switch (fault) {
            case Fault.ZoneLost lost -> planLoss(lost);
            case Fault.EnginesLost lost -> planLoss(lost);
            case Fault.LinkSlowed slowed -> {
                clock.after(slowed.from(), () -> relink(slowed.from()));
                clock.after(slowed.to(), () -> relink(slowed.to()));
            }
            case Fault.PlatformDown down -> {
                clock.after(down.from(), () -> log.down(true));
                clock.after(down.to(), () -> log.down(false));
            }
            case Fault.NodesReplaced replaced -> {
                long step = (replaced.to().toNanos() - replaced.from().toNanos()) / site.nodes();
                for (int i = 0; i < site.nodes(); i++) {
                    clock.after(replaced.from().plusNanos(step * i), this::replaceNode);
                }
            }
        }
    }

    private void planLoss(Fault fault) {
        List<Fleet.Engine> lost =
                fleet.engines().stream().filter(e -> fleet.lost(e, fault.from())).toList();
        clock.after(
                fault.from(),
                () ->
                        lost.forEach(
                                e -> {
                                    engines.remove(e.address());
                                    instances.remove(e.id());
                                }));
        clock.after(fault.to(), () -> lost.forEach(this::startEngine));
        if (fault instanceof Fault.ZoneLost zoneLost) {
            Zone zone = site.zones().get(zoneLost.zone());
            clock.after(fault.from(), () -> loseNodes(zone));
        }
    }

    private void loseNodes(Zone zone) {
        // the balancer sends them nothing more; their requests in progress are lost with them
        List<Node> gone = nodes.stream().filter(n -> n.self().zone().equals(zone)).toList();
        nodes.removeAll(gone);
        for (Node node : gone) {
            node.stop();
            instances.remove(node.self().id());
        }
    }

    private void relink(Duration at) {
        for (Fleet.Engine engine : fleet.engines()) {
            engines.delay(engine.address(), fleet.delay(engine, at));
        }
    }

    private void replaceNode() {
        Node old = nodes.removeFirst();
        old.drain().whenComplete((done, error) -> old.stop());
        Node fresh = startNode(old.self().zone());
        clock.after(LIST_LAG.multipliedBy(2), () -> nodes.add(fresh));
    }

    VirtualClock clock() {
        return clock;
    }

    /** Returns the time since the start of the run, in nanoseconds. */
    long nanos() {
        return clock.nanos() - originNanos;
    }

    /** Returns the node that the balancer chooses. */
    Optional<Node> node(int balance) {
        List<Node> ready = nodes.stream().filter(Node::ready).toList();
        List<Node> candidates = ready.isEmpty() ? nodes : ready;
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(balance % candidates.size()));
    }

    int waiting() {
        return nodes.stream().mapToInt(n -> n.admission().waiting()).sum();
    }

    int limit() {
        return nodes.stream().mapToInt(n -> n.admission().limit()).sum();
    }

    int running() {
        return nodes.stream().mapToInt(n -> n.admission().running()).sum();
    }

    void stop() {
        nodes.forEach(Node::stop);
    }
}
