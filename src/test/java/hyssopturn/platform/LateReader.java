package hyssopturn.platform;

import hyssopturn.model.Address;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Endpoint that answers a long request when it has read its head, and reads on when told to. */
final class LateReader implements AutoCloseable {
    private static final int LONG_BODY_BYTES = 65_536;

    private final SocketServer server = new SocketServer(this::serve);
    private final List<Unread> unread = new CopyOnWriteArrayList<>();

    private record Unread(InputStream in, int bytes) {}

    LateReader() throws IOException {}

    Address address() {
        return server.address();
    }

    private void serve(Socket socket, InputStream in, String head) throws IOException {
        int length = SocketServer.bodyBytes(head);
        if (length < LONG_BODY_BYTES) {
            in.skipNBytes(length);
        }
        socket.getOutputStream().write(answer(head));
        if (length >= LONG_BODY_BYTES) {
            unread.add(new Unread(in, length));
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

    private static byte[] answer(String head) {
        return ("HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: %s\r\nHyssopturn-Server-Seal: s\r\n"
                        + "Content-Length: 4\r\n\r\ndone")
                .formatted(SocketServer.header(head, "Hyssopturn-Attempt-Id", ""))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
