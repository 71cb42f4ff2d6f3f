package hyssopturn.bench;

import hyssopturn.config.ConfigController;
import hyssopturn.config.ConfigRecord;
import hyssopturn.filter.Credentials;
import hyssopturn.filter.Exchange;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.model.ClassName;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.Zone;
import hyssopturn.node.Node;
import hyssopturn.node.NodeSettings;
import hyssopturn.node.Ports;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;
import hyssopturn.port.Instance;
import hyssopturn.port.PeerLink;
import hyssopturn.port.WeightStore;
import hyssopturn.standin.EngineProfile;
import hyssopturn.standin.FakeEngine;
import hyssopturn.standin.LocalEngines;
import hyssopturn.standin.LocalServices;
import hyssopturn.standin.MemoryInstances;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.MemoryWeights;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** A node whose requests are all in progress at an engine that takes its time. */
final class StalledPath {
    private static final Zone ZONE = new Zone("local", "a");
    private static final int LAYERS = 4;
    private static final int MAX_TOKENS = 500;
    private static final Duration SETTLE = Duration.ofSeconds(3);
    private static final String PROMPT = "how is Bella the donkey today ".repeat(20);
    private static final String DOCUMENT =
            """
            format: 1
            models:
              m: {version: "1", layers: 4, layer-bytes: 1MiB}
            classes:
              letter: {model: m, first-token: 1h, between-tokens: 1h, share: 0.95}
            """;

    private final int requests;

    StalledPath(int requests) {
        this.requests = requests;
    }

    /** Measures the heap that the requests take, in bytes. */
    double heldBytes() {
        VirtualClock clock = new VirtualClock(0);
        NodeSettings settings = NodeSettings.trial(ZONE);
        Node node = node(clock, settings);
        clock.advance(SETTLE);
        String token = new Credentials(settings.accountSecret()).token(new AccountId("ana"));
        return Usage.heldBytes(
                () -> {
                    for (int i = 0; i < requests; i++) {
                        node.submit(call(i, token));
                    }
                    return node;
                });
    }

    private static Exchange.Call call(int number, String token) {
        return new Exchange.Call(
                new ClassName("letter"),
                Optional.of(token),
                Optional.empty(),
                new Exchange.Input.Text(PROMPT + number, MAX_TOKENS));
    }

    private static Node node(VirtualClock clock, NodeSettings settings) {
        MemoryLog log = new MemoryLog(clock);
        log.append(ConfigController.STREAM, new ConfigRecord.Publication("x", 0, DOCUMENT).encode())
                .join();
        MemoryInstances instances = new MemoryInstances(clock, Duration.ZERO, Duration.ofHours(1));
        LocalEngines engines = new LocalEngines(clock);
        Address at = new Address("10.0.0.1", 1);
        Holding holding =
                new Holding(
                        new ModelId("m", "1"), new LayerRange(0, LAYERS), List.of(), Phase.BOTH);
        FakeEngine engine =
                new FakeEngine(EngineProfile.quick(), List.of(holding), LAYERS, true, clock);
        engines.add(at, engine, Duration.ofMillis(1));
        Instance.Role role = new Instance.Role.Engine("a10", 1L << 30, true);
        instances.announce(new Instance(new InstanceId("e"), 1, role, at, ZONE, false)).join();
        Ports ports =
                new Ports(
                        log,
                        instances,
                        new MemoryWeights(new WeightStore.Weights(LAYERS, 1, 1)),
                        engines,
                        new LocalServices(),
                        PeerLink.NONE,
                        clock,
                        new SplittableRandom(1));
        Address self = new Address("10.0.0.2", 1);
        Instance entry =
                new Instance(
                        new InstanceId("n"), 1, new Instance.Role.Node(self), self, ZONE, false);
        Node node = new Node(entry, settings, ports, new SimpleMeterRegistry());
        node.start();
        return node;
    }
}
