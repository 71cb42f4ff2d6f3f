package hyssopturn.platform;

import hyssopturn.model.Address;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Server without an HTTP library, for endpoints of tests: reads the head of the request of each
 * connection, and leaves the rest to a handler. The receive buffers are small, so that long bodies
 * stay with their sender.
 */
final class SocketServer implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final int RECEIVE_BUFFER_BYTES = 8_192;
    private static final int READ_BYTES = 1_024;

    private final ServerSocket server = new ServerSocket();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final Handler handler;

    /** Handles the request of a connection, in a thread of its own. */
    interface Handler {
        /**
         * Handles a request.
         *
         * @param socket the connection, which stays open
         * @param in its bytes after the head
         * @param head request line and headers
         * @throws IOException if the relay has closed the connection
         */
        void handle(Socket socket, InputStream in, String head) throws IOException;
    }

    SocketServer(Handler handler) throws IOException {
        this.handler = handler;
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        Thread.ofVirtual().start(this::accept);
    }

    Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                open.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                if (!server.isClosed()) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream(), READ_BYTES);
            handler.handle(socket, in, readHead(in));
        } catch (IOException e) {
            // the relay has closed the connection
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection ended in a head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Returns the value of a header, or another text if there is none. */
    static String header(String head, String name, String otherwise) {
        String start = name.toLowerCase(Locale.ROOT) + ": ";
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(start))
                .map(line -> line.substring(start.length()).strip())
                .findFirst()
                .orElse(otherwise);
    }

    /** Returns the size of the body of a request, in bytes. */
    static int bodyBytes(String head) {
        return Integer.parseInt(header(head, "Content-Length", "0"));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
