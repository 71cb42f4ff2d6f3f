package hyssopturn.node;

import hyssopturn.wire.WriteFailureHandler;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientBuilder;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.impl.ConnectionBase;

import java.time.Duration;

/** Creates the HTTP clients with which a node calls endpoints and the log store. */
final class HttpClients {
    private static final String WRITE_FAILURES = "hyssopturn.connection.write.failures";

    /** Maximum size of the header section of a response. */
    private static final int MAX_HEADER_BYTES = 32_768;

    private final Vertx vertx;
    private final MeterRegistry meters;

    /**
     * Creates a factory.
     *
     * @param vertx event loop of all clients
     * @param meters registry for the counters of failed connections
     */
    HttpClients(Vertx vertx, MeterRegistry meters) {
        this.vertx = vertx;
        this.meters = meters;
    }

    /**
     * Creates a client for the log store, without keep-alive: a pooled connection may have been
     * lost without any notification, so each connection serves one call.
     *
     * <p>The timeout bounds the connection attempt itself, not only the call that waits for it. An
     * attempt whose SYN packet is lost would otherwise occupy its slot in the pool of that address
     * while the operating system retransmits the packet with exponential backoff, and calls made
     * after the address is reachable again would queue behind it.
     *
     * @param connections maximum number of connections to an address
     * @param connectTimeout connect timeout
     * @return the client
     */
    HttpClient forStore(int connections, Duration connectTimeout) {
        Counter failures = meters.counter(WRITE_FAILURES, "callee", "store");
        return builder(connections, connectTimeout)
                .withConnectHandler(connection -> watch(connection, failures))
                .build();
    }

    /**
     * Creates a client for endpoints, without keep-alive, whose long requests wait in the heap
     * until their receivers read them.
     *
     * @param connections maximum number of connections to an address
     * @param connectTimeout connect timeout
     * @param memory direct memory of all connections
     * @return the client
     */
    HttpClient forEndpoints(int connections, Duration connectTimeout, WriteMemory memory) {
        Counter failures = meters.counter(WRITE_FAILURES, "callee", "endpoint");
        return builder(connections, connectTimeout)
                .withConnectHandler(
                        connection -> {
                            watch(connection, failures);
                            keepUnsent(connection, memory);
                        })
                .build();
    }

    private static void watch(HttpConnection connection, Counter failures) {
        WriteFailureHandler.watch(connection, failures::increment);
    }

    private static void keepUnsent(HttpConnection connection, WriteMemory memory) {
        Channel channel = ((ConnectionBase) connection).channel();
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(UnsentBytes.LOW_BYTES, UnsentBytes.HIGH_BYTES));
        channel.pipeline().addFirst(new UnsentBytes(memory, () -> {}));
    }

    private HttpClientBuilder builder(int connections, Duration connectTimeout) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setTcpNoDelay(true)
                        .setConnectTimeout((int) connectTimeout.toMillis())
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setDecompressionSupported(false);
        return vertx.httpClientBuilder()
                .with(options)
                .with(new PoolOptions().setHttp1MaxSize(connections).setCleanerPeriod(0));
    }
}
