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
import java.util.function.LongSupplier;

/**
 * One connection pool per receiver, so that a pool with a suspect connection is discarded whole.
 *
 * <p>Calls in progress on a discarded pool finish, also those that still wait for a connection; no
 * new call uses its connections.
 */
final class ConnectionPools implements AutoCloseable {
    private static final int POOL_PER_HOST = 256;
    private static final Duration POOL_EXPIRY = Duration.ofMinutes(5);

    /**
     * Age below which a pool is kept, so that several failed calls on one pool don't discard its
     * replacement as well. No call is found suspect sooner than this after it was sent.
     */
    private static final long MIN_DISCARD_AGE_NANOS = 5_000_000;

    /**
     * Time after which an idle connection is closed, because a device on the path may drop its
     * state.
     */
    private static final int IDLE_SECONDS = 10;

    private final Vertx vertx;
    private final HttpClientOptions options;
    private final LongSupplier nanos;
    private final HttpClient fresh;
    private final Cache<Address, Pool> pools;

    /** The connections to one receiver. */
    static final class Pool {
        private final HttpClient client;
        private final long createdNanos;
        private int calls;
        private boolean discarded;

        private Pool(HttpClient client, long createdNanos) {
            this.client = client;
            this.createdNanos = createdNanos;
        }

        HttpClient client() {
            return client;
        }

        private synchronized void beginCall() {
            calls++;
        }

        /** Ends a call; the last one on a discarded pool closes the pool's connections. */
        synchronized void endCall() {
            calls--;
            closeIfUnused();
        }

        private synchronized void discard() {
            discarded = true;
            closeIfUnused();
        }

        private void closeIfUnused() {
            if (discarded && calls == 0) {
                client.close();
            }
        }
    }

    /**
     * Creates pools without connections.
     *
     * @param vertx event loops to run on
     * @param options options of all connections
     * @param nanos monotonic time in nanoseconds
     */
    ConnectionPools(Vertx vertx, HttpClientOptions options, LongSupplier nanos) {
        this.vertx = vertx;
        this.options =
                new HttpClientOptions(options).setKeepAlive(true).setKeepAliveTimeout(IDLE_SECONDS);
        this.nanos = nanos;
        fresh = client(new HttpClientOptions(options).setKeepAlive(false));
        pools =
                Caffeine.newBuilder()
                        .expireAfterAccess(POOL_EXPIRY)
                        .removalListener(
                                (Address receiver, Pool pool, RemovalCause cause) -> pool.discard())
                        .build();
    }

    private HttpClient client(HttpClientOptions clientOptions) {
        return vertx.httpClientBuilder()
                .with(clientOptions)
                .with(new PoolOptions().setHttp1MaxSize(POOL_PER_HOST))
                .withConnectHandler(connection -> WriteFailureHandler.watch(connection, () -> {}))
                .build();
    }

    /**
     * Returns the pool that reuses connections to a receiver, for one call.
     *
     * @param to the receiver
     * @return its pool, on which the caller must end the call
     */
    Pool beginCall(Address to) {
        return pools.asMap()
                .compute(
                        to,
                        (receiver, existing) -> {
                            Pool pool = existing == null ? newPool() : existing;
                            pool.beginCall();
                            return pool;
                        });
    }

    private Pool newPool() {
        return new Pool(client(options), nanos.getAsLong());
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
     * Discards the pool of a receiver, unless the pool was just created.
     *
     * @param to the receiver
     */
    void discard(Address to) {
        pools.asMap()
                .computeIfPresent(
                        to,
                        (receiver, pool) ->
                                nanos.getAsLong() - pool.createdNanos < MIN_DISCARD_AGE_NANOS
                                        ? pool
                                        : null);
    }

    @Override
    public void close() {
        pools.asMap().values().forEach(pool -> pool.client().close());
        fresh.close();
    }
}
