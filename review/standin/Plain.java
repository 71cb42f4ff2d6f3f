import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker of a plain service: runs each request and answers after its work time. */
final class Plain {
    final String id;
    final String address;
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    volatile long workMs = 60;
    private final ServerSocket server;
    private long sequence;

    Plain(String id, String ip) throws IOException {
        this.id = id;
        server = Http.serve(ip, this::serve);
        address = ip + ":" + server.getLocalPort();
    }

    String announcement(String service, String state) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"" + address
                + "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" + state
                + "\",\"ColdLeftMs\":0,\"born\":1,\"Sequence\":" + ++sequence + "}";
    }

    private void serve(Socket socket, InputStream in) throws IOException {
        Http.Message request = Http.read(in);
        String attempt = request.header("Hyssopturn-Attempt-Id");
        runs.computeIfAbsent(attempt, a -> new AtomicInteger()).incrementAndGet();
        try {
            Thread.sleep(workMs);
        } catch (InterruptedException e) {
            return;
        }
        String headers =
                "Hyssopturn-Attempt-Id: " + attempt + "\r\nHyssopturn-Server-Seal: " + id
                        + "\r\nConnection: close\r\n";
        byte[] body = ("run " + attempt).getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(Http.answer(200, headers, body));
        socket.getOutputStream().flush();
    }
}
