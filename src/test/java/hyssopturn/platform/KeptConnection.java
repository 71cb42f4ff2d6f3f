package hyssopturn.platform;

import hyssopturn.model.Address;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Caller on one connection with a small receive buffer; sends and reads when the test says so. */
final class KeptConnection implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int STARTUP_MILLIS = 10_000;
    private static final int OK = 200;
    private static final AtomicInteger COUNT = new AtomicInteger();

    private final Socket socket = new Socket();
    private final InputStream in;
    private final int number = COUNT.incrementAndGet();
    private int requests;

    KeptConnection(Address front) throws IOException {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        connect(front);
        in = new BufferedInputStream(socket.getInputStream());
    }

    private void connect(Address front) throws IOException {
        socket.connect(new InetSocketAddress(front.host(), front.port()), STARTUP_MILLIS);
    }

    /**
     * An answer that has been read completely.
     *
     * @param status HTTP status
     * @param head status line and headers
     * @param bodyBytes size of the body
     */
    record Answer(int status, String head, int bodyBytes) {
        boolean closes() {
            return head.toLowerCase(Locale.ROOT).contains("connection: close");
        }
    }

    /** Sends a whole request. */
    void send(String path) throws IOException {
        sendRaw(request("POST", path, "", "the caller's body"));
    }

    /** Returns a request with further header lines, each ended by a line break. */
    String request(String method, String path, String headers, String body) {
        return "%s %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nHyssopturn-Attempt-Id: k%d-%d\r\n%sContent-Length: %d\r\n\r\n%s"
                .formatted(
                        method,
                        path,
                        Configs.HOST,
                        Configs.KEY,
                        number,
                        ++requests,
                        headers,
                        body.length(),
                        body);
    }

    /** Returns the id of the last request. */
    String lastId() {
        return "k%d-%d".formatted(number, requests);
    }

    /** Sends bytes as they are. */
    void sendRaw(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Closes the sending half of the connection. */
    void endSending() throws IOException {
        socket.shutdownOutput();
    }

    /** Reads nothing for a while. */
    void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Repeats a request until the node serves it. */
    void awaitServed(String path) throws IOException {
        long end = System.currentTimeMillis() + STARTUP_MILLIS;
        while (System.currentTimeMillis() < end) {
            send(path);
            if (read().status() == OK) {
                return;
            }
            pause(20);
        }
        throw new IOException("not served in time");
    }

    /**
     * Reads one answer.
     *
     * @throws IOException if the connection ends or fails inside it
     */
    Answer read() throws IOException {
        String head = readHead();
        int status = Integer.parseInt(head.split(" ", 3)[1]);
        return new Answer(status, head, skipBody(head.toLowerCase(Locale.ROOT)));
    }

    /** Reads one answer that has no body whatever its headers say. */
    Answer readWithoutBody() throws IOException {
        String head = readHead();
        return new Answer(Integer.parseInt(head.split(" ", 3)[1]), head, 0);
    }

    private String readHead() throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (true) {
            head.write(readByte());
            String text = head.toString(StandardCharsets.ISO_8859_1);
            if (text.endsWith("\r\n\r\n")) {
                return text;
            }
        }
    }

    private int readByte() throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException("connection ended inside an answer");
        }
        return next;
    }

    private int skipBody(String head) throws IOException {
        if (head.contains("transfer-encoding: chunked")) {
            return skipChunks();
        }
        int start = head.indexOf("content-length: ");
        if (start < 0) {
            return 0;
        }
        int valueStart = start + "content-length: ".length();
        int length = Integer.parseInt(head.substring(valueStart, head.indexOf('\r', valueStart)));
        in.skipNBytes(length);
        return length;
    }

    private int skipChunks() throws IOException {
        int total = 0;
        while (true) {
            int size = Integer.parseInt(readLine(), 16);
            in.skipNBytes(size + 2);
            if (size == 0) {
                return total;
            }
            total += size;
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = readByte();
            if (next == '\n') {
                return line.toString().strip();
            }
            line.append((char) next);
        }
    }

    /** Returns the number of bytes that can be read without waiting. */
    int available() throws IOException {
        return in.available();
    }

    /** Returns whether the connection has ended without another byte. */
    boolean readsEnd() throws IOException {
        try {
            return in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
