package hyssopturn.platform;

import hyssopturn.model.Address;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;

/**
 * Endpoint that answers a request when it has read its head, and ends the connection in one of
 * several ways; it has not read long requests by then.
 */
final class BreakingEndpoint implements AutoCloseable {
    /** Time for a part of an answer to arrive before the next one, or the end, follows. */
    private static final long ARRIVAL_NANOS = 30_000_000;

    private final SocketServer server = new SocketServer(this::serve);
    private final List<String> heads = new CopyOnWriteArrayList<>();
    private volatile List<String> parts = List.of();
    private volatile End end = End.RESET;

    /** How the connection ends after the answer. */
    enum End {
        /** With a reset, while the body of the request is unread. */
        RESET,
        /** With a reset that follows the last byte at once. */
        RESET_AT_ONCE,
        /** In order, after the whole request was read. */
        CLOSED_AFTER_READING,
        /** In order, before the body of the request is read, which is done afterwards. */
        CLOSED_BEFORE_READING;

        boolean reset() {
            return this == RESET || this == RESET_AT_ONCE;
        }
    }

    BreakingEndpoint() throws IOException {}

    Address address() {
        return server.address();
    }

    /** Sets the bytes of the next answers, and how their connections end. */
    void answer(String bytes, End nextEnd) {
        answer(List.of(bytes), nextEnd);
    }

    /** Sets the bytes of the next answers, which are sent in parts, a little after each other. */
    void answer(List<String> nextParts, End nextEnd) {
        parts = nextParts;
        end = nextEnd;
    }

    /** Returns the heads of the requests. */
    List<String> heads() {
        return List.copyOf(heads);
    }

    private void serve(Socket socket, InputStream in, String head) throws IOException {
        try (socket) {
            heads.add(head);
            for (String part : parts) {
                socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
                if (end != End.RESET_AT_ONCE) {
                    LockSupport.parkNanos(ARRIVAL_NANOS);
                }
            }
            end(socket, in, SocketServer.bodyBytes(head));
        }
    }

    private void end(Socket socket, InputStream in, int bodyBytes) throws IOException {
        switch (end) {
            case RESET, RESET_AT_ONCE -> socket.setSoLinger(true, 0);
            case CLOSED_AFTER_READING -> in.skipNBytes(bodyBytes);
            case CLOSED_BEFORE_READING -> {
                socket.shutdownOutput();
                in.transferTo(OutputStream.nullOutputStream());
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
