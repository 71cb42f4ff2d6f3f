import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Small HTTP/1.1 reader and server over plain sockets. */
final class Http {
    private Http() {}

    /** Head and body of a message; header names are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("end of stream inside a line");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message head(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(
                    l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
        }
        return new Message(first, headers, new byte[0]);
    }

    static Message read(InputStream in) throws IOException {
        Message head = head(in);
        byte[] body = new byte[0];
        if (head.header("transfer-encoding").equals("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] c = chunk(in); c.length > 0; c = chunk(in)) {
                all.write(c);
            }
            body = all.toByteArray();
        } else if (!head.header("content-length").isEmpty()) {
            body = exactly(in, Integer.parseInt(head.header("content-length")));
        }
        return new Message(head.first(), head.headers(), body);
    }

    /** Reads a chunk; an empty one is the last. */
    static byte[] chunk(InputStream in) throws IOException {
        byte[] bytes = exactly(in, Integer.parseInt(line(in).strip(), 16));
        line(in);
        return bytes;
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body ends after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    static byte[] answer(int status, String headers, byte[] body) {
        byte[] head =
                ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Handles one connection. */
    interface Handler {
        void handle(Socket socket, InputStream in) throws IOException;
    }

    /** Starts a server on a free port of the address; each connection has a thread. */
    static ServerSocket serve(String host, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 1_024);
        daemon(() -> accept(server, handler));
        return server;
    }

    private static void accept(ServerSocket server, Handler handler) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> handle(socket, handler));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void handle(Socket socket, Handler handler) {
        try (socket) {
            handler.handle(socket, new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            // the peer has left; what that means is judged by the tests
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "standin", 256 * 1_024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
