package hyssopturn.tunnel;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;

/** Ports for servers of tests. */
final class Ports {
    private Ports() {}

    /** Returns a port at which nobody listens. */
    static int free() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
