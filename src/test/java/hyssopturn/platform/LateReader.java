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
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/** Endpoint that answers a long request when it has read its head, and reads on when told to. */
final class LateReader implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final int RECEIVE_BUFFER_BYTES = 16_384;
    private static final int LONG_BODY_BYTES = 65_536;
    private static final String ID_HEADER = "hyssopturn-attempt-id: ";
    private static final String LENGTH_HEADER = "content-length: ";

    private final ServerSocket server;
    private final List<Unread> unread = new CopyOnWriteArrayList<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();

    private record Unread(InputStream in, int bytes) {}

    LateReader() throws IOException {
        server = new ServerSocket();
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
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1_024);
            String head = readHead(in);
            int length = Integer.parseInt(header(head, LENGTH_HEADER, "0"));
            if (length < LONG_BODY_BYTES) {
                in.skipNBytes(length);
            }
            socket.getOutputStream().write(answer(header(head, ID_HEADER, "")));
            if (length >= LONG_BODY_BYTES) {
                unread.add(new Unread(in, length));
            }
        } catch (IOException e) {
            // the router has closed the connection
        }
    }

    /** Reads the long bodies, and returns how many of them are whole. */
    int readOn() {
        return (int) unread.stream().filter(LateReader::isWhole).count();
    }

    private static boolean isWhole(Unread body) {
        try {
            body.in().skipNBytes(body.bytes());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static byte[] answer(String id) {
        return ("HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: %s\r\nHyssopturn-Server-Seal: s\r\n"
                        + "Content-Length: 4\r\n\r\ndone")
                .formatted(id)
                .getBytes(StandardCharsets.ISO_8859_1);
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

    private static String header(String head, String name, String otherwise) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name))
                .map(line -> line.substring(name.length()).strip())
                .findFirst()
                .orElse(otherwise);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
