import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** A configuration adds two tenants; a worker must be able to tell their requests apart. */
final class TenantNames extends Bed {
    private static final int REQUESTS = 10;
    private static final long APPLY_MILLIS = 2_000;

    /** For each name that workers received, the tenants whose requests came with it. */
    private final Map<String, TreeSet<String>> received = new TreeMap<>();

    private TenantNames(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        run(new TenantNames(Path.of(args[0])));
    }

    @Override
    int play() throws Exception {
        for (String id : List.of("worker-a", "worker-b", "worker-c")) {
            new Worker(id, "app", "", this::work);
        }
        String routes = route("book", "unsafe", "app", "");
        String services = "{\"Name\":\"app\"}";
        configure(3, routes, services);
        Node node = new Node("node-1");
        node.awaitReady();
        List<String> names =
                trouble
                        ? List.of("\u0424\u0438\u043b\u0438\u0430\u043b \u0412\u0430\u0440\u043d\u0430",
                                "\u0424\u0438\u043b\u0438\u0430\u043b \u0421\u043e\u0444\u0438\u044f")
                        : List.of("Filial Varna", "Filial Sofia");
        configure(8, routes, services, names);
        sleep(APPLY_MILLIS + 100);
        for (int i = 0; i < REQUESTS; i++) {
            for (int tenant = 0; tenant < names.size(); tenant++) {
                call(node, names.get(tenant), TENANTS + tenant, "r" + i + "-" + tenant);
            }
        }
        note("tenants by the name that workers received: " + received);
        boolean mixed = received.values().stream().anyMatch(tenants -> tenants.size() > 1);
        return mixed ? 1 : 0;
    }

    private void call(Node node, String tenant, int key, String id) {
        String result;
        note("%s is sent with the key of %s".formatted(id, tenant));
        try (Socket socket = connect(node.front)) {
            socket.setSoTimeout(5_000);
            send(
                    socket.getOutputStream(),
                    requestWithKey("POST", "/book/" + tenant(key), id, key, "", 0),
                    new byte[0]);
            result = Message.read(new BufferedInputStream(socket.getInputStream())).line;
        } catch (IOException e) {
            result = e.toString();
        }
        note("%s is answered %s".formatted(id, result));
    }

    private static String tenant(int key) {
        return "tenant-" + key;
    }

    private void work(Socket socket, Message request, InputStream in) throws IOException {
        request.readBody(in, false);
        String id = request.header("Hyssopturn-Attempt-Id");
        String name = request.header("Hyssopturn-Tenant");
        synchronized (received) {
            received.computeIfAbsent(name, n -> new TreeSet<>())
                    .add(request.path().substring("/book/".length()));
        }
        byte[] raw = name.getBytes(StandardCharsets.ISO_8859_1);
        note(
                "a worker runs %s of Hyssopturn-Tenant '%s' (%s)"
                        .formatted(id, name, java.util.HexFormat.of().formatHex(raw)));
        send(
                socket.getOutputStream(),
                "HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: "
                        + id
                        + "\r\nHyssopturn-Server-Seal: seal-"
                        + id
                        + "\r\nContent-Length: 4\r\n",
                bytes("done"));
    }
}
