package hyssopturn.node;

import hyssopturn.chain.EngineLoad;
import hyssopturn.chain.LayerController;
import hyssopturn.chain.PipeShare;
import hyssopturn.fleet.FaultReport;
import hyssopturn.log.Backoff;
import hyssopturn.log.KeyedFollower;
import hyssopturn.model.Address;
import hyssopturn.platform.PlatformAdapter;
import hyssopturn.platform.PlatformSettings;
import hyssopturn.port.Duties;
import hyssopturn.relay.Knowledge;
import hyssopturn.relay.LoopLag;
import hyssopturn.relay.Relay;
import hyssopturn.relay.RelayParts;
import hyssopturn.relay.RelaySettings;
import hyssopturn.relay.RetryAllowance;
import hyssopturn.trace.EventCounters;
import hyssopturn.trace.LibraryLog;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** A node between callers and endpoints on the users' platform, all on one event loop. */
public final class RelayNode {
    /** Longest usual delay between tries to read a stream that cannot be read. */
    private static final Duration READ_AGAIN = Duration.ofMillis(300);

    /** How long a read of fault reports waits; short enough to leave a silent connection soon. */
    private static final Duration FAULT_WAIT = Duration.ofSeconds(5);

    /** Pause between reads of fault reports, as several nodes mostly report the same fault. */
    private static final Duration FAULT_PAUSE = Duration.ofMillis(100);

    /** Time to find out that a read was lost and to read again. */
    private static final Duration READ_LOST = Duration.ofSeconds(1);

    /** Least time from one read of a stream to the next, however short the platform's bounds. */
    private static final Duration LEAST_PAUSE = Duration.ofMillis(250);

    private static final Duration DRAIN_TICK = Duration.ofMillis(50);

    /** Time without a byte after which a caller's connection ends; above any route's timeout. */
    private static final Duration CALLER_IDLE = Duration.ofSeconds(60);

    /** Longest time to connect to a live engine; many round trips between zones. */
    private static final Duration CHECK_LIMIT = Duration.ofMillis(25);

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int ENDPOINT_CONNECTIONS = 1_000;
    private static final int STORE_CONNECTIONS = 32;

    /** Longest time to connect to the store; above three round trips of a slow one. */
    private static final Duration STORE_CONNECT = Duration.ofMillis(700);

    private static final int BACKLOG = 1_024;

    private final Vertx vertx;
    private final PlatformSettings platform;
    private final LoopClock clock;
    private final TraceLog trace;
    private final PrometheusMeterRegistry meters =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Knowledge knowledge = new Knowledge();
    private final Relay relay;
    private final KeyedFollower config;
    private final KeyedFollower endpoints;
    private final KeyedFollower faults;
    private final LayerController layers;
    private final RetryAllowance retries;
    private final EngineLoad load;
    private final PipeShare pipes;
    private double share;

    /**
     * Assembles a node that has not started.
     *
     * @param vertx event loop, used by nothing else
     * @param platform the platform's settings
     * @param settings the product's settings
     * @param out where log lines go
     */
    public RelayNode(
            Vertx vertx, PlatformSettings platform, RelayNodeSettings settings, OutputStream out) {
        this.vertx = vertx;
        this.platform = platform;
        clock = new LoopClock(vertx, vertx.getOrCreateContext());
        trace =
                new TraceLog(
                        platform.node(),
                        clock,
                        out,
                        settings.logLines(),
                        new EventCounters(meters));
        SplittableRandom random = new SplittableRandom();
        retries = retries(settings);
        load = new EngineLoad(random, sharers(settings.nodes()));
        pipes = new PipeShare(settings.nodes());
        HttpClient endpointClient =
                Connections.oneCallEach(vertx, ENDPOINT_CONNECTIONS, settings.connectTimeout());
        PlatformAdapter adapter =
                new PlatformAdapter(
                        platform,
                        Connections.oneCallEach(vertx, STORE_CONNECTIONS, STORE_CONNECT),
                        endpointClient,
                        clock,
                        meters);
        FaultBoard faultBoard =
                new FaultBoard(
                        adapter.log(), knowledge.roster(), clock, trace, platform.node(), random);
        relay =
                new Relay(
                        new RelayParts(
                                knowledge,
                                adapter.dialect(),
                                endpointClient,
                                clock,
                                random,
                                retries,
                                load,
                                pipes,
                                new ConnectProbe(vertx, CHECK_LIMIT),
                                new LoopLag(),
                                faultBoard,
                                trace,
                                meters,
                                relaySettings(settings)),
                        adapter.engines());
        config =
                follower(
                        adapter,
                        adapter.configStream(),
                        longer(platform.settled().minus(READ_LOST), LEAST_PAUSE),
                        Duration.ZERO,
                        new CatalogListener(knowledge, adapter::catalog, clock, trace));
        endpoints =
                follower(
                        adapter,
                        adapter.endpointStream(),
                        Duration.ZERO,
                        longer(platform.leaveNotice().dividedBy(2), LEAST_PAUSE),
                        new RosterListener(knowledge.roster(), adapter::endpoint, clock, trace));
        faults = follower(adapter, FaultReport.STREAM, FAULT_WAIT, FAULT_PAUSE, faultBoard);
        layers =
                new LayerController(
                        knowledge::catalog,
                        knowledge.roster(),
                        adapter.duties(),
                        adapter.engines(),
                        clock,
                        trace,
                        this::dealt);
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private KeyedFollower follower(
            PlatformAdapter adapter,
            String stream,
            Duration patience,
            Duration pause,
            KeyedFollower.Listener listener) {
        return new KeyedFollower(
                adapter.log(),
                stream,
                new KeyedFollower.Pacing(patience, pause),
                clock,
                new Backoff(new SplittableRandom(), READ_AGAIN),
                listener);
    }

    private RetryAllowance retries(RelayNodeSettings settings) {
        return new RetryAllowance(
                platform.retryRatio(),
                platform.retryWindow().toNanos(),
                platform.retryFixed(),
                1.0 / settings.nodes());
    }

    /** Nodes of this availability zone, to which instances are taken to be spread evenly. */
    private double sharers(double nodes) {
        return nodes / platform.zones();
    }

    private void dealt(Duties.Dealt dealt) {
        if (dealt.share() != share) {
            share = dealt.share();
            trace.record(new TraceEvent.ShareDealt(share, dealt.nodes()));
        }
        retries.share(share);
        load.sharers(sharers(dealt.nodes()));
        pipes.nodes(dealt.nodes());
    }

    private RelaySettings relaySettings(RelayNodeSettings settings) {
        return new RelaySettings(
                platform.zone(),
                settings.connectTimeout(),
                settings.firstEventCheck(),
                settings.gapCheck(),
                settings.firstEventStall(),
                settings.gapStall(),
                settings.retryAfter());
    }

    /** Starts controllers and servers on the event loop. */
    public void start() {
        vertx.runOnContext(
                v -> {
                    trace.record(
                            new TraceEvent.Started(
                                    platform.zone(), platform.front().toString(), "0.1.0"));
                    listen(platform.front(), relay::handle);
                    listen(platform.readiness(), this::readiness);
                    listen(platform.metrics(), this::metrics);
                    config.start();
                    endpoints.start();
                    faults.start();
                    layers.start();
                    relay.start();
                });
    }

    private void listen(Address address, Handler<HttpServerRequest> handler) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setAcceptBacklog(BACKLOG)
                        .setIdleTimeout((int) CALLER_IDLE.toSeconds())
                        .setMaxHeaderSize(Connections.MAX_HEADER_BYTES)
                        .setPerFrameWebSocketCompressionSupported(false)
                        .setPerMessageWebSocketCompressionSupported(false)
                        .setHttp2ClearTextEnabled(false)
                        .setHandle100ContinueAutomatically(true);
        Future<?> listening =
                vertx.createHttpServer(options)
                        .requestHandler(handler)
                        .connectionHandler(c -> c.exceptionHandler(this::connectionFailed))
                        .listen(address.port(), address.host());
        listening.onFailure(
                e ->
                        trace.record(
                                new TraceEvent.Dependency(
                                        "listen " + address, "lost", String.valueOf(e))));
    }

    /** A caller's connection failed; its requests in progress are told by their own handlers. */
    private void connectionFailed(Throwable error) {
        meters.counter("hyssopturn.connection.errors", "error", error.getClass().getSimpleName())
                .increment();
    }

    private void readiness(HttpServerRequest request) {
        request.response().setStatusCode(relay.ready() ? OK : UNAVAILABLE).end();
    }

    private void metrics(HttpServerRequest request) {
        request.response()
                .putHeader("Content-Type", "text/plain; version=0.0.4")
                .end(meters.scrape());
    }

    /**
     * Notes that the settings file was read again.
     *
     * @param changed true if it differs
     */
    public void reloaded(boolean changed) {
        vertx.runOnContext(v -> trace.record(new TraceEvent.Reloaded(changed)));
    }

    /**
     * Stops gracefully: callers are sent elsewhere, and requests in progress are finished.
     *
     * @param least time for which requests on open connections are still answered
     * @param most time after which the process must be gone
     * @return completes when nothing is in progress or the time is over
     */
    public CompletableFuture<Void> drain(Duration least, Duration most) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(
                v -> {
                    trace.record(new TraceEvent.Stopping("draining", relay.running()));
                    relay.drain();
                    layers.stop();
                    awaitIdle(clock.nanos(), least, most, done);
                });
        return done;
    }

    private void awaitIdle(
            long startNanos, Duration least, Duration most, CompletableFuture<Void> done) {
        long spent = clock.nanos() - startNanos;
        boolean idle = relay.running() == 0 && spent >= least.toNanos();
        if (idle || spent >= most.toNanos()) {
            trace.record(new TraceEvent.Stopping("stopped", relay.running()));
            done.complete(null);
            return;
        }
        clock.after(DRAIN_TICK, () -> awaitIdle(startNanos, least, most, done));
    }

    /** Brings what libraries log into the node's log; for a process that is nothing else. */
    public void logLibraries() {
        LibraryLog.install(trace);
    }

    /** Stops reading from the platform's log and writes out the own one. */
    public void close() {
        vertx.runOnContext(v -> List.of(config, endpoints, faults).forEach(KeyedFollower::stop));
        trace.close();
    }
}
