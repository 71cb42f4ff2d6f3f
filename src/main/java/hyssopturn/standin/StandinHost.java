package hyssopturn.standin;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.Zone;
import hyssopturn.node.SystemClock;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.Phase;
import hyssopturn.port.Instance;
import hyssopturn.port.InstanceList;
import hyssopturn.port.WeightStore;
import hyssopturn.wire.HttpCaller;
import hyssopturn.wire.HttpPlatform;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;

import java.time.Duration;
import java.util.List;

/** Runs stand-ins behind HTTP servers in this process. */
public final class StandinHost implements AutoCloseable {
    private static final Duration LIST_LAG = Duration.ofMillis(300);
    private static final Duration LIST_KEEP = Duration.ofSeconds(10);
    private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_SPAN = Duration.ofMillis(20);
    private static final WeightStore.Weights WEIGHTS =
            new WeightStore.Weights(12, 64L << 20, 256L << 20);
    private static final int TIMER_THREADS = 2;
    private static final long ENGINE_MEMORY = 2L << 30;

    private final Vertx vertx;
    private final SystemClock clock = new SystemClock(TIMER_THREADS);
    private final HttpCaller caller;
    private InstanceList list;

    /**
     * Creates a host without stand-ins.
     *
     * @param vertx event loops
     */
    public StandinHost(Vertx vertx) {
        this.vertx = vertx;
        caller = new HttpCaller(vertx, CALL_TIMEOUT, CALL_TIMEOUT);
    }

    /**
     * Sets where engines and services of this host are listed.
     *
     * @param platform where the platform listens
     */
    public void announceTo(Address platform) {
        list = new HttpPlatform(caller, platform, CALL_TIMEOUT);
    }

    /**
     * Starts a platform.
     *
     * @param host IP number to listen on
     * @param port port to listen on, 0 for any
     * @return where it listens
     */
    public Address platform(String host, int port) {
        HttpServer server =
                Servers.platform(
                                vertx,
                                new MemoryLog(clock),
                                new MemoryInstances(clock, LIST_LAG, LIST_KEEP),
                                new MemoryWeights(WEIGHTS),
                                host,
                                port)
                        .await();
        return new Address(host, server.actualPort());
    }

    /**
     * Starts an engine and keeps it listed.
     *
     * @param id name of the instance
     * @param zone its zone
     * @param host IP number to listen on
     * @param port port to listen on, 0 for any
     * @param profile how fast it is
     * @param model model that it holds
     * @param layers layers that it holds
     * @param total number of layers of the whole model
     * @return where it listens
     */
    public Address engine(
            String id,
            Zone zone,
            String host,
            int port,
            EngineProfile profile,
            ModelId model,
            LayerRange layers,
            int total) {
        Holding holding = new Holding(model, layers, List.of(), Phase.BOTH);
        FakeEngine engine = new FakeEngine(profile, List.of(holding), total, true, clock);
        HttpServer server = Servers.engine(vertx, engine, host, port).await();
        Address at = new Address(host, server.actualPort());
        Instance.Role role = new Instance.Role.Engine(profile.accelerator(), ENGINE_MEMORY, true);
        announce(instance(id, role, at, zone));
        return at;
    }

    /**
     * Starts a service and keeps it listed.
     *
     * @param id name of the instance
     * @param zone its zone
     * @param host IP number to listen on
     * @param port port to listen on, 0 for any
     * @param name name of the service
     * @return where it listens
     */
    public Address service(String id, Zone zone, String host, int port, String name) {
        FakeService service = new FakeService(clock, CALL_SPAN);
        HttpServer server = Servers.service(vertx, service, host, port).await();
        Address at = new Address(host, server.actualPort());
        announce(instance(id, new Instance.Role.Service(name), at, zone));
        return at;
    }

    private Instance instance(String id, Instance.Role role, Address at, Zone zone) {
        return new Instance(new InstanceId(id), clock.wallMillis(), role, at, zone, false);
    }

    private void announce(Instance instance) {
        if (list != null) {
            list.announce(instance);
            clock.after(ANNOUNCE_INTERVAL, () -> announce(instance));
        }
    }

    @Override
    public void close() {
        caller.close();
        clock.close();
    }
}
