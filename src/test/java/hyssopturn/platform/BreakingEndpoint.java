package hyssopturn.platform;

import hyssopturn.model.Address;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Endpoint that answers a request when it has read its head, and ends the connection in one of
 * several ways. Its receive buffer is small, so that it has not read long requests by then.
 */
final class BreakingEndpoint implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final int RECEIVE_BUFFER_BYTES = 8_192;

    /** Time for a part of an answer to arrive before the next one, or the end, follows. */
    private static final long ARRIVAL_MILLIS = 30;

    private final ServerSocket server = new ServerSocket();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final List<String> heads = new CopyOnWriteArrayList<>();
    private volatile List<String> parts = List.of();
    private volatile End end = End.RESET;

    /** How the connection ends after the answer. */
    enum End {
        /** With a reset, while the body of the request is unread. */
        RESET,
        /** In order, after the whole request was read. */
        CLOSED_AFTER_READING,
        /** In order, before the body of the request is read, which is done afterwards. */
        CLOSED_BEFORE_READING
    }

    BreakingEndpoint() throws IOException {
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        Thread.ofVirtual().start(this::accept);
    }

    Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
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
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1_024);
            String head = readHead(in);
            heads.add(head);
            for (String part : parts) {
                socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(ARRIVAL_MILLIS);
            }
            end(socket, in, bodyBytes(head));
        } catch (IOException e) {
            // the relay has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end(Socket socket, InputStream in, int bodyBytes) throws IOException {
        switch (end) {
            case RESET -> socket.setSoLinger(true, 0);
            case CLOSED_AFTER_READING -> in.skipNBytes(bodyBytes);
            case CLOSED_BEFORE_READING -> {
                socket.shutdownOutput();
                in.transferTo(OutputStream.nullOutputStream());
            }
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

    private static int bodyBytes(String head) {
        return head.toLowerCase(Locale.ROOT)
                .lines()
                .filter(line -> line.startsWith("content-length: "))
                .mapToInt(line -> Integer.parseInt(line.substring(16)))
                .findFirst()
                .orElse(0);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
