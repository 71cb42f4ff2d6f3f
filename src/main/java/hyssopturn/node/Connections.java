package hyssopturn.node;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

import java.time.Duration;

/** Makes the clients through which a node calls others. */
final class Connections {
    /** Longest head of an answer that is read. */
    static final int MAX_HEADER_BYTES = 32_768;

    private Connections() {}

    /**
     * Creates a client whose connections serve one call each: a kept one may have gone silent
     * without a sign.
     *
     * <p>The time to connect bounds the connection itself, not only the call that waits for it. A
     * connection whose opening packet is lost would otherwise hold its place among the connections
     * to that address while the system repeats the packet at growing intervals, and calls made
     * after the address can be reached again would wait behind it.
     *
     * @param vertx event loop
     * @param connections greatest number of connections to an address
     * @param connectTimeout longest time to connect
     * @return the client
     */
    static HttpClient oneCallEach(Vertx vertx, int connections, Duration connectTimeout) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setTcpNoDelay(true)
                        .setConnectTimeout((int) connectTimeout.toMillis())
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setDecompressionSupported(false);
        return vertx.createHttpClient(
                options, new PoolOptions().setHttp1MaxSize(connections).setCleanerPeriod(0));
    }
}
