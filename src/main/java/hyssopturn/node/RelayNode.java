package hyssopturn.node;

import hyssopturn.chain.EngineLoad;
import hyssopturn.chain.InterZoneBudget;
import hyssopturn.chain.LayerController;
import hyssopturn.limit.EndpointLimits;
import hyssopturn.model.Address;
import hyssopturn.peer.LimitSocket;
import hyssopturn.platform.PlatformAdapter;
import hyssopturn.platform.PlatformSettings;
import hyssopturn.port.Duties;
import hyssopturn.quarantine.PromptGuard;
import hyssopturn.quarantine.PromptQuarantine;
import hyssopturn.relay.AnswerMemory;
import hyssopturn.relay.BodyMemory;
import hyssopturn.relay.CallerMemory;
import hyssopturn.relay.EndpointClient;
import hyssopturn.relay.EndpointNotices;
import hyssopturn.relay.LoopLag;
import hyssopturn.relay.Relay;
import hyssopturn.relay.RelayContext;
import hyssopturn.relay.RelaySettings;
import hyssopturn.relay.RetryBudget;
import hyssopturn.relay.RoutingState;
import hyssopturn.trace.EventCounters;
import hyssopturn.trace.LibraryLog;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;
import hyssopturn.tunnel.EndpointConnector;
import hyssopturn.tunnel.TunnelServer;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/** A node on the users' platform that relays requests of callers to endpoints on one event loop. */
public final class RelayNode {
    /** Connect timeout of a liveness probe; many round trips between zones. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(25);

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int ENDPOINT_CONNECTIONS = 1_000;
    private static final int STORE_CONNECTIONS = 32;

    /** Connect timeout of the log store; longer than three round trips to a slow store. */
    private static final Duration STORE_CONNECT_TIMEOUT = Duration.ofMillis(700);

    /** Part of the heap that incomplete answers may use, as a divisor. */
    private static final int ANSWER_HEAP_DIVISOR = 5;

    /** Part of the direct memory that bytes to be sent may use, as a divisor. */
    private static final int WRITE_DIRECT_DIVISOR = 2;

    /** Part of the heap that bodies of callers may use, as a divisor. */
    private static final int BODY_HEAP_DIVISOR = 5;

    private final Vertx vertx;
    private final PlatformSettings platform;
    private final EventLoopClock clock;
    private final TraceLog trace;
    private final PrometheusMeterRegistry meters =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final RoutingState knowledge = new RoutingState();
    private final Relay relay;
    private final StoreReading reading;
    private final WhereHandler where;
    private final LayerController layers;
    private final TunnelServer tunnels;
    private final LimitSocket limitSocket;
    private final EndpointLimits limits;
    private final RetryBudget retries;
    private final LoadSharing loads;
    private final EngineLoad load;
    private final InterZoneBudget pipes;
    private final ProcessMemory memory;
    private final CallerServers servers;
    private final HttpServer callers;
    private double share;

    /**
     * Creates a node that is not started.
     *
     * @param vertx event loop, not shared with other components
     * @param platform the platform's settings
     * @param settings the product's settings
     * @param out destination of log lines
     */
    public RelayNode(
            Vertx vertx, PlatformSettings platform, RelayNodeSettings settings, OutputStream out) {
        this.vertx = vertx;
        this.platform = platform;
        memory = ProcessMemory.of(platform.machine());
        clock = new EventLoopClock(vertx, vertx.getOrCreateContext());
        trace =
                new TraceLog(
                        platform.node(),
                        clock,
                        out,
                        settings.logLines(),
                        new EventCounters(meters));
        SplittableRandom random = new SplittableRandom();
        retries = retries(settings);
        int loadNodes = settings.loadNodes();
        loads = new LoadSharing(vertx, platform, loadNodes, knowledge, clock, random, meters);
        load = new EngineLoad(random, nodesInZone(settings.nodes()), loads.own(), loads.view());
        pipes = new InterZoneBudget(settings.nodes());
        WriteMemory writeMemory = writeMemory();
        HttpClients clients = new HttpClients(vertx, meters);
        EndpointConnector connector = connector(clients, settings, writeMemory, random);
        tunnels = tunnels();
        AnswerMemory answerMemory = answerMemory();
        CallerMemory callerMemory =
                new CallerMemory(settings.callers().memoryBytes(memory.heapBytes()));
        limitSocket = new LimitSocket(vertx);
        limits = limits(random);
        EndpointNotices notices =
                new EndpointNotices(knowledge.roster(), limits, clock, trace, meters);
        PlatformAdapter adapter = adapter(clients, connector, answerMemory, notices);
        FaultReporter faultReporter =
                new FaultReporter(
                        adapter.log(), knowledge.roster(), clock, trace, platform.node(), random);
        QuarantineReporter quarantineReporter =
                new QuarantineReporter(adapter.log(), clock, trace, platform.node(), random);
        PromptGuard prompts = promptGuard(random, quarantineReporter);
        relay =
                new Relay(
                        new RelayContext(
                                knowledge,
                                adapter.headers(),
                                connector,
                                clock,
                                random,
                                retries,
                                load,
                                loads.view(),
                                pipes,
                                probe(connector),
                                new LoopLag(),
                                faultReporter,
                                answerMemory,
                                limits,
                                notices,
                                prompts,
                                trace,
                                meters,
                                relaySettings(settings)),
                        adapter.engines(),
                        bodyMemory(callerMemory));
        where = new WhereHandler(relay::explain);
        servers = new CallerServers(vertx, clock, meters);
        callers = callers(connections(settings.callers(), callerMemory, writeMemory));
        reading =
                new StoreReading(
                        vertx,
                        platform,
                        adapter,
                        knowledge,
                        new FaultStreamListener(faultReporter, quarantineReporter, prompts),
                        limits,
                        loads,
                        owners -> connector.helpers(helpers(owners)),
                        clock,
                        trace,
                        meters);
        adapter.log().whenRestored(this::storeRestored);
        layers = layers(adapter);
    }

    private PlatformAdapter adapter(
            HttpClients clients,
            EndpointClient endpointClient,
            AnswerMemory answerMemory,
            EndpointNotices notices) {
        HttpClient storeClient = clients.forStore(STORE_CONNECTIONS, STORE_CONNECT_TIMEOUT);
        return new PlatformAdapter(
                platform, storeClient, endpointClient, clock, answerMemory, notices, meters);
    }

    private HttpServer callers(CallerConnections connections) {
        return servers.forCallers(relay::handle, knowledge::callerLimits, connections);
    }

    private EndpointConnector connector(
            HttpClients clients,
            RelayNodeSettings settings,
            WriteMemory writeMemory,
            RandomGenerator random) {
        HttpClient client =
                clients.forEndpoints(ENDPOINT_CONNECTIONS, settings.connectTimeout(), writeMemory);
        return new EndpointConnector(
                client::request, client, clock, random, this::linksChanged, meters);
    }

    private void linksChanged(boolean lost) {
        trace.record(
                new TraceEvent.Dependency(
                        "links to endpoints",
                        lost ? "lost" : "regained",
                        lost ? "other nodes reach endpoints, this one does not" : ""));
    }

    private HelpedProbe probe(EndpointConnector connector) {
        return new HelpedProbe(new ConnectProbe(vertx, PROBE_TIMEOUT), connector);
    }

    /** Returns the addresses at which other nodes open connections. */
    private List<Address> helpers(Collection<Address> peers) {
        return peers.stream()
                .distinct()
                .filter(peer -> !peer.equals(platform.peers()))
                .map(PlatformSettings::tunnels)
                .toList();
    }

    private TunnelServer tunnels() {
        int limit = DescriptorRoom.tunnels(platform.machine());
        return new TunnelServer(
                vertx, a -> knowledge.roster().findByAddress(a).isPresent(), limit, meters);
    }

    private EndpointLimits limits(RandomGenerator random) {
        int partitions = PlatformAdapter.partitions(platform);
        EndpointLimits created =
                new EndpointLimits(platform.peers(), partitions, clock, random, limitSocket);
        meters.gauge("hyssopturn.endpoint.limits", created, EndpointLimits::count);
        meters.gauge("hyssopturn.limit.unissued", created, EndpointLimits::unissued);
        FunctionCounter.builder(
                        "hyssopturn.limit.unissued.sent", created, EndpointLimits::sentUnissued)
                .register(meters);
        return created;
    }

    private AnswerMemory answerMemory() {
        AnswerMemory memory =
                new AnswerMemory(Runtime.getRuntime().maxMemory() / ANSWER_HEAP_DIVISOR);
        meters.gauge("hyssopturn.answer.bytes", memory, AnswerMemory::heldBytes);
        return memory;
    }

    private WriteMemory writeMemory() {
        WriteMemory created = new WriteMemory(memory.directBytes() / WRITE_DIRECT_DIVISOR);
        meters.gauge("hyssopturn.write.bytes", created, WriteMemory::heldBytes);
        meters.gauge("hyssopturn.write.bytes.limit", created, WriteMemory::limitBytes);
        return created;
    }

    private CallerConnections connections(
            CallerBudget budget, CallerMemory callerMemory, WriteMemory writeMemory) {
        DescriptorRoom room = DescriptorRoom.of(platform.machine());
        int limit = budget.connections(room);
        return new CallerConnections(
                clock,
                callerMemory,
                writeMemory,
                new ReceiveBuffers(budget.unreadBytes(memory), limit),
                limit,
                budget.requests(room),
                meters);
    }

    private BodyMemory bodyMemory(CallerMemory callerMemory) {
        BodyMemory memory =
                new BodyMemory(Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR, callerMemory);
        meters.gauge("hyssopturn.body.bytes", memory, BodyMemory::heldBytes);
        return memory;
    }

    private LayerController layers(PlatformAdapter adapter) {
        return new LayerController(
                knowledge::catalog,
                knowledge.roster(),
                reading.endpointInterval(),
                adapter.duties(),
                adapter.engines(),
                clock,
                trace,
                this::dutiesAssigned);
    }

    private PromptGuard promptGuard(RandomGenerator random, QuarantineReporter reporter) {
        return new PromptGuard(new PromptQuarantine(random.nextDouble()), clock, trace, reporter);
    }

    private void storeRestored() {
        trace.record(new TraceEvent.Dependency("store", "restored", "returned from a copy"));
        reading.restart();
    }

    private RetryBudget retries(RelayNodeSettings settings) {
        return new RetryBudget(
                platform.retryRatio(),
                platform.retryWindow().toNanos(),
                platform.retryFixed(),
                1.0 / settings.nodes());
    }

    /** Estimates the number of nodes in this availability zone, assuming an even distribution. */
    private double nodesInZone(double nodes) {
        return nodes / platform.zones();
    }

    private void dutiesAssigned(Duties.Assignment assignment, long untilNanos) {
        limits.assign(assignment.partitions(), untilNanos);
        loads.assign(assignment.partitions());
        if (assignment.share() != share) {
            share = assignment.share();
            trace.record(new TraceEvent.ShareDealt(share, assignment.nodes()));
        }
        retries.share(share);
        load.nodesPerZone(nodesInZone(assignment.nodes()));
        pipes.nodes(assignment.nodes());
    }

    private RelaySettings relaySettings(RelayNodeSettings settings) {
        return new RelaySettings(
                platform.zone(),
                settings.connectTimeout(),
                settings.firstEventCheck(),
                settings.gapCheck(),
                settings.firstEventStall(),
                settings.gapStall(),
                platform.leaveNotice(),
                settings.retryAfter(),
                settings.admission(),
                settings.zoneChoice());
    }

    /** Starts controllers and servers on the event loop. */
    public void start() {
        vertx.runOnContext(
                v -> {
                    trace.record(
                            new TraceEvent.Started(
                                    platform.zone(), platform.front().toString(), "0.1.0"));
                    listen(callers, platform.front());
                    listen(servers.forOperation(this::readiness), platform.readiness());
                    listen(servers.forOperation(this::metrics), platform.metrics());
                    reading.start();
                    layers.start();
                    limitSocket.listen(platform.peers(), limits::receive);
                    loads.start();
                    tunnels.listen(platform.tunnels());
                    relay.start();
                });
    }

    private void listen(HttpServer server, Address address) {
        server.listen(address.port(), address.host())
                .onFailure(
                        e ->
                                trace.record(
                                        new TraceEvent.Dependency(
                                                "listen " + address, "lost", String.valueOf(e))));
    }

    private void readiness(HttpServerRequest request) {
        request.response().setStatusCode(relay.ready() ? OK : UNAVAILABLE).end();
    }

    private void metrics(HttpServerRequest request) {
        if (request.path().equals(WhereHandler.PATH)) {
            where.handle(request);
            return;
        }
        request.response()
                .putHeader("Content-Type", "text/plain; version=0.0.4")
                .end(meters.scrape());
    }

    /**
     * Records that the settings file was reloaded.
     *
     * @param changed true if its content has changed
     */
    public void reloaded(boolean changed) {
        vertx.runOnContext(v -> trace.record(new TraceEvent.Reloaded(changed)));
    }

    /**
     * Shuts down gracefully: reports the node as not ready, finishes requests in progress and
     * closes the callers' connections. Shortly before the maximum time has passed, requests without
     * an answer get one, and then answers in progress are broken off.
     *
     * @param minimum time during which requests on open connections are still answered, at most
     *     half of the maximum
     * @param maximum time after which the node stops waiting for requests in progress
     * @return a future that completes when every answer has been sent and every caller's connection
     *     is closed, or the maximum time has passed
     */
    public CompletableFuture<Void> drain(Duration minimum, Duration maximum) {
        NodeDrain drain = new NodeDrain(relay, callers, tunnels, clock, trace);
        vertx.runOnContext(
                v -> {
                    layers.stop();
                    drain.start(minimum, maximum);
                });
        return drain.done();
    }

    /**
     * Redirects the log output of libraries to the node's log. The redirection is process-wide, so
     * it suits only a process that runs nothing else.
     */
    public void redirectLibraryLogs() {
        LibraryLog.install(trace);
    }

    /**
     * Ends the process when its memory is used up. This is process-wide, too, and suits only a
     * process that runs nothing else.
     *
     * @param log destination of the last line
     */
    public void exitWhenOutOfMemory(PrintStream log) {
        new OutOfMemoryExit(log, Runtime.getRuntime()::halt).install(vertx);
    }

    /** Stops reading from the platform's log, then flushes and closes the node's own log. */
    public void close() {
        vertx.runOnContext(v -> reading.stop());
        trace.close();
    }
}
