package hyssopturn.node;

import hyssopturn.port.Clock;
import hyssopturn.relay.Relay;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;
import hyssopturn.tunnel.TunnelServer;

import io.vertx.core.http.HttpServer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The steps by which a node ends its requests and its callers' connections before its process
 * exits. Runs on the node's event loop.
 */
final class NodeDrain {
    /** How long before idle connections are closed new requests are refused. */
    private static final Duration ACCEPT_MARGIN = Duration.ofMillis(200);

    /** Part of the drain's maximum time that is left for sending the last answers. */
    private static final Duration LAST_ANSWERS_TIME = Duration.ofMillis(250);

    /** Part of the drain's maximum time that is left for closing connections and logging. */
    private static final Duration CLOSE_TIME = Duration.ofMillis(100);

    private static final Duration TUNNEL_CHECK_INTERVAL = Duration.ofMillis(50);

    private final Relay relay;
    private final HttpServer callers;
    private final TunnelServer tunnels;
    private final Clock clock;
    private final TraceLog trace;
    private final CompletableFuture<Void> done = new CompletableFuture<>();

    NodeDrain(Relay relay, HttpServer callers, TunnelServer tunnels, Clock clock, TraceLog trace) {
        this.relay = relay;
        this.callers = callers;
        this.tunnels = tunnels;
        this.clock = clock;
        this.trace = trace;
    }

    /**
     * Starts the drain.
     *
     * @param minimum time during which requests on open connections are still answered, at most
     *     half of the maximum
     * @param maximum time after which the node stops waiting for requests in progress
     */
    void start(Duration minimum, Duration maximum) {
        Duration half = maximum.dividedBy(2);
        Duration serving = minimum.compareTo(half) < 0 ? minimum : half;
        Duration answering = maximum.minus(LAST_ANSWERS_TIME);
        trace.record(new TraceEvent.Stopping("draining", relay.running()));
        tunnels.stopAccepting();
        relay.drain(serving.minus(ACCEPT_MARGIN), answering);
        clock.after(serving, () -> closeCallers(maximum.minus(serving)));
        clock.after(answering, relay::giveUpBeforeExit);
        clock.after(maximum.minus(CLOSE_TIME), relay::breakOffBeforeExit);
        clock.after(maximum, this::finish);
    }

    /**
     * Returns a future that completes when every answer has been sent and every caller's connection
     * is closed, or the maximum time has passed.
     */
    CompletableFuture<Void> done() {
        return done;
    }

    /**
     * Closes callers' connections: those without a request at once, each other one when the bytes
     * of its answer have left this process.
     */
    private void closeCallers(Duration limit) {
        callers.shutdown(limit.toMillis(), TimeUnit.MILLISECONDS)
                .onComplete(closed -> finishAfterTunnels());
    }

    /** Waits for the connections of other nodes' requests as well. */
    private void finishAfterTunnels() {
        if (tunnels.open() == 0) {
            finish();
        } else if (!done.isDone()) {
            clock.after(TUNNEL_CHECK_INTERVAL, this::finishAfterTunnels);
        }
    }

    private void finish() {
        if (!done.isDone()) {
            trace.record(new TraceEvent.Stopping("stopped", relay.running()));
            done.complete(null);
        }
    }
}
