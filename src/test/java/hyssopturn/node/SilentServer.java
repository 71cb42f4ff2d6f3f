package hyssopturn.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A port whose queue of connections is full, so that further opening packets are dropped. */
final class SilentServer implements AutoCloseable {
    private static final int FILLERS = 8;
    private static final int FILLER_MILLIS = 100;

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillers = new ArrayList<>();

    SilentServer() throws IOException {
        for (int i = 0; i < FILLERS; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), FILLER_MILLIS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
        throw new IllegalStateException("the queue of connections is never full");
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
