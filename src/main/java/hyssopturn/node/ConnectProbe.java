package hyssopturn.node;

import hyssopturn.model.Address;
import hyssopturn.port.Liveness;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Connects, and once more if nobody answered, so that a lost packet does not pass for a death. */
final class ConnectProbe implements Liveness {
    private final NetClient client;

    /**
     * Creates a probe.
     *
     * @param vertx event loop
     * @param limit longest time to connect
     */
    ConnectProbe(Vertx vertx, Duration limit) {
        client =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout((int) limit.toMillis()));
    }

    @Override
    public CompletableFuture<Boolean> listens(Address address) {
        return connect(address)
                .recover(error -> silent(error) ? connect(address) : Future.failedFuture(error))
                .map(true)
                .otherwise(false)
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static boolean silent(Throwable error) {
        return error instanceof ConnectTimeoutException;
    }

    private Future<NetSocket> connect(Address address) {
        return client.connect(address.port(), address.host()).onSuccess(NetSocket::close);
    }
}
