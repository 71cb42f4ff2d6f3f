package hyssopturn.node;

import hyssopturn.model.Address;
import hyssopturn.port.LivenessProbe;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Liveness probe that opens a TCP connection. A timeout is retried once, so that a single lost
 * packet is not mistaken for a dead process.
 */
final class ConnectProbe implements LivenessProbe {
    private final NetClient client;

    /**
     * Creates a probe.
     *
     * @param vertx event loop
     * @param timeout connect timeout of each of the two attempts
     */
    ConnectProbe(Vertx vertx, Duration timeout) {
        client =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout((int) timeout.toMillis()));
    }

    @Override
    public CompletableFuture<Boolean> listens(Address address) {
        return connect(address)
                .recover(error -> timedOut(error) ? connect(address) : Future.failedFuture(error))
                .map(true)
                .otherwise(false)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static boolean timedOut(Throwable error) {
        return error instanceof ConnectTimeoutException;
    }

    private Future<NetSocket> connect(Address address) {
        return client.connect(address.port(), address.host()).onSuccess(NetSocket::close);
    }
}
