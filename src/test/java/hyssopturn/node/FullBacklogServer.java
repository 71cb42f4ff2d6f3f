package hyssopturn.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A listening port whose accept queue is full, so that further SYN packets are dropped. */
final class FullBacklogServer implements AutoCloseable {
    private static final int FILLERS = 8;
    private static final int FILLER_MILLIS = 100;

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillers = new ArrayList<>();

    FullBacklogServer() throws IOException {
        for (int i = 0; i < FILLERS; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), FILLER_MILLIS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
        throw new IllegalStateException("the accept queue did not fill up");
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
