package hyssopturn.platform;

import hyssopturn.model.Address;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Server that answers each request with a head, then sends the same piece again and again at a
 * given rate until the client closes the connection. It has threads of its own.
 */
final class FloodServer implements AutoCloseable {
    /** Rate of an answer. */
    private static final int BYTES_PER_SECOND = 20_000_000;

    /** Bytes that are written at a time. */
    private static final int WRITE_BYTES = 20_000;

    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final byte[] head;
    private final byte[] pieces;
    private final ServerSocket server;
    private final AtomicInteger open = new AtomicInteger();

    FloodServer(String head, String piece) {
        this.head = head.getBytes(StandardCharsets.ISO_8859_1);
        int count = Math.max(1, WRITE_BYTES / piece.length());
        pieces = piece.repeat(count).getBytes(StandardCharsets.ISO_8859_1);
        try {
            server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns bytes as one chunk of a body. */
    static String chunk(String bytes) {
        return Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n";
    }

    Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    /** Returns the number of answers in progress. */
    int open() {
        return open.get();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return; // the server was closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            readHead(socket.getInputStream());
            open.incrementAndGet();
            flood(socket.getOutputStream());
        } catch (IOException e) {
            // expected: the client closes the connection while bytes are in flight
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        open.decrementAndGet();
    }

    private static void readHead(InputStream in) throws IOException {
        String read = "";
        while (!read.endsWith("\r\n\r\n")) {
            read += (char) in.read();
        }
    }

    private void flood(OutputStream out) throws IOException, InterruptedException {
        out.write(head);
        long start = System.nanoTime();
        for (long sent = 0; ; sent += pieces.length) {
            out.write(pieces);
            long due = start + sent * (NANOS_PER_SECOND / BYTES_PER_SECOND);
            Thread.sleep(Math.max(0, (due - System.nanoTime()) / NANOS_PER_MILLI));
        }
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
