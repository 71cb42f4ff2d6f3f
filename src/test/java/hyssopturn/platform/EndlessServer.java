package hyssopturn.platform;

import hyssopturn.model.Address;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/** Server that answers each request with some initial bytes, then repeats other bytes endlessly. */
final class EndlessServer {
    private static final String HOST = "127.0.0.1";
    private static final int REPEATS = 1_000;

    private final Vertx vertx;
    private final Buffer first;
    private final Buffer repeated = Buffer.buffer();
    private final Address address;
    private final List<CompletableFuture<Void>> connections = new CopyOnWriteArrayList<>();

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
        CompletableFuture<Void> closed = new CompletableFuture<>();
        connections.add(closed);
        socket.exceptionHandler(
                e -> {
                    // expected: the client closes the connection while bytes are in flight
                });
        socket.closeHandler(v -> closed.complete(null));
        socket.handler(
                request -> {
                    socket.handler(more -> {});
                    socket.write(first);
                    flood(socket, closed);
                });
    }

    private void flood(NetSocket socket, CompletableFuture<Void> closed) {
        if (closed.isDone()) {
            return;
        }
        if (socket.writeQueueFull()) {
            socket.drainHandler(v -> flood(socket, closed));
            return;
        }
        socket.write(repeated);
        vertx.runOnContext(v -> flood(socket, closed));
    }

    Address address() {
        return address;
    }

    /**
     * Returns a future that completes when the client has closed all connections that it has opened
     * so far, at least one.
     */
    CompletableFuture<Void> closed() {
        return connections.isEmpty()
                ? new CompletableFuture<>()
                : CompletableFuture.allOf(connections.toArray(CompletableFuture[]::new));
    }
}
