package hyssopturn.node;

import hyssopturn.catalog.CallerLimits;
import hyssopturn.port.Clock;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;

import java.time.Duration;
import java.util.function.Supplier;

/** Creates the HTTP servers of a node: the one for callers, and those for its operation. */
final class CallerServers {
    /** Idle timeout of connections that ask for readiness or metrics. */
    private static final Duration OPERATION_IDLE_TIMEOUT = Duration.ofSeconds(60);

    /**
     * Maximum size of a request line and of a header section, whatever the operator allows; the
     * limit of the configuration is lower, and is applied to heads that have been read.
     */
    private static final int MAX_HEAD_BYTES = 262_144;

    private static final int ACCEPT_BACKLOG = 1_024;

    private final Vertx vertx;
    private final Clock clock;
    private final MeterRegistry meters;

    CallerServers(Vertx vertx, Clock clock, MeterRegistry meters) {
        this.vertx = vertx;
        this.clock = clock;
        this.meters = meters;
    }

    /** Creates the server for callers, whose connections obey the limits in force. */
    HttpServer forCallers(
            Handler<HttpServerRequest> handler,
            Supplier<CallerLimits> limits,
            CallerConnections connections) {
        return vertx.createHttpServer(options())
                .requestHandler(handler)
                .connectionHandler(
                        connection -> {
                            watchFailures(connection);
                            CallerConnection.watch(
                                    ((ConnectionBase) connection).channel(),
                                    clock,
                                    limits,
                                    connections);
                        });
    }

    /** Creates a server for readiness or metrics. */
    HttpServer forOperation(Handler<HttpServerRequest> handler) {
        return vertx.createHttpServer(
                        options().setIdleTimeout((int) OPERATION_IDLE_TIMEOUT.toSeconds()))
                .requestHandler(handler)
                .connectionHandler(this::watchFailures);
    }

    private static HttpServerOptions options() {
        return new HttpServerOptions()
                .setTcpNoDelay(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxInitialLineLength(MAX_HEAD_BYTES)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true);
    }

    private void watchFailures(HttpConnection connection) {
        connection.exceptionHandler(this::connectionFailed);
    }

    /**
     * Counts a failed connection of a caller; its requests have exception handlers of their own. An
     * error that concerns the whole process is passed on to the handler of the event loop.
     */
    private void connectionFailed(Throwable error) {
        meters.counter("hyssopturn.connection.errors", "error", error.getClass().getSimpleName())
                .increment();
        if (error instanceof OutOfMemoryError outOfMemory) {
            throw outOfMemory;
        }
    }
}
