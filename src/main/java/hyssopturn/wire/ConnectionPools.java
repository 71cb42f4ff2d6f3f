package hyssopturn.wire;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.RemovalCause;

import hyssopturn.model.Address;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Pooled connections, a pool for each receiver, so that a suspect pool is given up as a whole.
 *
 * <p>Calls under way on a pool that was given up finish; no new call uses its connections.
 */
final class ConnectionPools implements AutoCloseable {
    private static final int POOL_PER_HOST = 256;
    private static final Duration UNUSED = Duration.ofMinutes(5);

    /**
     * Age up to which a pool is taken for new, so that many suspicions give it up once. No call is
     * suspected sooner after it was sent.
     */
    private static final long YOUNG_NANOS = 5_000_000;

    /** Time after which an idle connection is closed, for something between may forget it. */
    private static final int IDLE_SECONDS = 10;

    private final Vertx vertx;
    private final HttpClientOptions options;
    private final Duration lastCall;
    private final LongSupplier nanos;
    private final HttpClient fresh;
    private final Cache<Address, Pool> pools;

    private record Pool(HttpClient client, long bornNanos) {}

    /**
     * Creates pools without connections.
     *
     * @param vertx event loops to run on
     * @param options options of all connections
     * @param lastCall greatest time that a call on a pool that was given up may still take
     * @param nanos monotonic time in nanoseconds
     */
    ConnectionPools(Vertx vertx, HttpClientOptions options, Duration lastCall, LongSupplier nanos) {
        this.vertx = vertx;
        this.options =
                new HttpClientOptions(options).setKeepAlive(true).setKeepAliveTimeout(IDLE_SECONDS);
        this.lastCall = lastCall;
        this.nanos = nanos;
        fresh = client(new HttpClientOptions(options).setKeepAlive(false));
        pools =
                Caffeine.newBuilder()
                        .expireAfterAccess(UNUSED)
                        .removalListener(
                                (Address at, Pool pool, RemovalCause cause) -> retire(pool))
                        .build();
    }

    private HttpClient client(HttpClientOptions with) {
        return vertx.createHttpClient(with, new PoolOptions().setHttp1MaxSize(POOL_PER_HOST));
    }

    private void retire(Pool pool) {
        pool.client().shutdown(lastCall.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the client that reuses connections to a receiver.
     *
     * @param to the receiver
     * @return its pool's client
     */
    HttpClient pooled(Address to) {
        return pools.get(to, at -> new Pool(client(options), nanos.getAsLong())).client();
    }

    /**
     * Returns the client that makes a new connection for each call.
     *
     * @return the client
     */
    HttpClient fresh() {
        return fresh;
    }

    /**
     * Gives up all pooled connections to a receiver.
     *
     * @param to the receiver
     */
    void suspect(Address to) {
        pools.asMap()
                .computeIfPresent(
                        to,
                        (at, pool) ->
                                nanos.getAsLong() - pool.bornNanos() < YOUNG_NANOS ? pool : null);
    }

    @Override
    public void close() {
        pools.asMap().values().forEach(pool -> pool.client().close());
        fresh.close();
    }
}
