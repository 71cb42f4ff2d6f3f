package hyssopturn.platform;

import hyssopturn.model.Address;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

import java.util.concurrent.CompletableFuture;

/** Server that answers a request with some initial bytes, then repeats other bytes endlessly. */
final class EndlessServer {
    private static final String HOST = "127.0.0.1";
    private static final int REPEATS = 1_000;

    private final Vertx vertx;
    private final Buffer first;
    private final Buffer repeated = Buffer.buffer();
    private final Address address;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    EndlessServer(Vertx vertx, String first, String repeated) {
        this.vertx = vertx;
        this.first = Buffer.buffer(first);
        for (int i = 0; i < REPEATS; i++) {
            this.repeated.appendString(repeated);
        }
        int port =
                vertx.createNetServer()
                        .connectHandler(this::accept)
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        address = new Address(HOST, port);
    }

    private void accept(NetSocket socket) {
        socket.exceptionHandler(
                e -> {
                    // expected: the client closes the connection while bytes are in flight
                });
        socket.closeHandler(v -> closed.complete(null));
        socket.handler(
                request -> {
                    socket.handler(more -> {});
                    socket.write(first);
                    flood(socket);
                });
    }

    private void flood(NetSocket socket) {
        if (closed.isDone()) {
            return;
        }
        if (socket.writeQueueFull()) {
            socket.drainHandler(v -> flood(socket));
            return;
        }
        socket.write(repeated);
        vertx.runOnContext(v -> flood(socket));
    }

    Address address() {
        return address;
    }

    /** Returns a future that completes when the client has closed its connection. */
    CompletableFuture<Void> closed() {
        return closed;
    }
}
