package hyssopturn.node;

import hyssopturn.model.Address;
import hyssopturn.port.Liveness;
import hyssopturn.port.LivenessProbe;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Liveness probe that opens a TCP connection. A timeout is retried once, so that a single lost
 * packet is not mistaken for a dead process; the reference is tried together with the retry.
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
    public CompletableFuture<Liveness> probe(Address address, Optional<Address> reference) {
        return connect(address)
                .map(Liveness.LISTENS)
                .recover(
                        error ->
                                timedOut(error)
                                        ? retry(address, reference)
                                        : Future.succeededFuture(Liveness.REFUSED))
                .toCompletionStage()
                .toCompletableFuture();
    }

    private Future<Liveness> retry(Address address, Optional<Address> reference) {
        Future<NetSocket> retried = connect(address);
        Future<Boolean> networkWorks =
                reference.map(this::answers).orElse(Future.succeededFuture(true));
        return retried.map(Liveness.LISTENS)
                .recover(
                        error ->
                                timedOut(error)
                                        ? networkWorks.map(ConnectProbe::silent)
                                        : Future.succeededFuture(Liveness.REFUSED));
    }

    /** Returns whether an address accepts or refuses a connection before the timeout. */
    private Future<Boolean> answers(Address address) {
        return connect(address).map(true).otherwise(error -> !timedOut(error));
    }

    private static Liveness silent(boolean networkWorks) {
        return networkWorks ? Liveness.FAILED : Liveness.UNKNOWN;
    }

    private static boolean timedOut(Throwable error) {
        return error instanceof ConnectTimeoutException;
    }

    private Future<NetSocket> connect(Address address) {
        return client.connect(address.port(), address.host()).onSuccess(NetSocket::close);
    }
}
