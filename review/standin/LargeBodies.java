import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of one zone send one request each, with a body below MaxBodyBytes, within a second. */
final class LargeBodies extends Case {
    private static final String IP = "127.0.0.1";
    private static final int LARGE_CLIENTS = 35;
    private static final int LARGE_BYTES = 4_190_000;
    private static final int USUAL_BYTES = 3_600;
    private static final double CLIENT_MBPS = 20;
    private static final int SMALL_CLIENTS = 10;
    private static final long TIMEOUT_MS = 2_000;
    private static final long GRACE_MS = 500;
    private static final long DEADLINE_MS = 4_000;

    private static final String CONFIG =
            "{\"Version\":1,\"Routes\":[{\"Name\":\"r-book\",\"Host\":\"a.example\","
                    + "\"PathPrefix\":\"/book/\",\"Type\":\"unsafe\",\"TimeoutMs\":2000,"
                    + "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"dispatch\","
                    + "\"MaxAttempts\":1,\"AnonymousAccess\":false}],"
                    + "\"Services\":[{\"Name\":\"dispatch\",\"HealthPath\":\"/health\","
                    + "\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false}],"
                    + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                    + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                    + "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"k1\"],\"Priority\":1}]}";

    /** A request that was sent whole, and when its answer came. */
    private record Sent(String id, double at, double answeredAt, String result) {}

    private final List<Sent> sent = new ArrayList<>();
    private Router router;
    private volatile boolean over;

    public static void main(String[] arguments) {
        new LargeBodies().run(arguments[0]);
    }

    @Override
    boolean broken() throws Exception {
        Store store = new Store(IP);
        List<Plain> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new Plain("i-" + i, IP));
        }
        store.put("keyed.op", "config", CONFIG);
        Http.daemon(() -> beat(store, workers));
        router = router("front-1", IP, IP + ":" + store.port());
        router.start();
        router.awaitReady();
        note("ready");
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            String name = "small-" + i;
            Http.daemon(() -> small(name));
        }
        sleep(4);
        int bytes = trouble ? LARGE_BYTES : USUAL_BYTES;
        double burst = seconds();
        note("%d clients send a body of %d bytes each", LARGE_CLIENTS, bytes);
        List<Thread> large = new ArrayList<>();
        for (int i = 0; i < LARGE_CLIENTS; i++) {
            String id = "large-" + i;
            large.add(Http.daemon(() -> request(id, new byte[bytes])));
        }
        for (Thread thread : large) {
            thread.join();
        }
        note("all clients of the burst have an answer or have left");
        double judgedFrom = burst + DEADLINE_MS / 1e3 + 8;
        sleep(judgedFrom + 24 - seconds());
        over = true;
        sleep(0.1);
        note("process alive: %s, ready: %s", router.process.isAlive(), router.ready());
        note(
                "log lines with OutOfMemoryError: %d",
                Files.readAllLines(folder.resolve("front-1.log")).stream()
                        .filter(l -> l.contains("OutOfMemoryError"))
                        .count());
        return judge(judgedFrom);
    }

    private void beat(Store store, List<Plain> workers) {
        try {
            while (true) {
                workers.forEach(
                        w -> store.put("keyed.servers", w.id, w.announcement("dispatch", "ready")));
                Thread.sleep(1_200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends small requests one after the other. */
    private void small(String name) {
        for (int i = 0; !over; i++) {
            request(name + "-" + i, new byte[600]);
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends a request on a new channel; leaves at the deadline. */
    private void request(String id, byte[] body) {
        Arrays.fill(body, (byte) 'x');
        double at = -1;
        String result;
        Socket socket = new Socket();
        Thread leave = Http.daemon(() -> close(socket));
        try (socket) {
            socket.connect(new InetSocketAddress(IP, router.frontPort), 1_000);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            out.write(
                    ("POST /book/x HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\n"
                                    + "Hyssopturn-Attempt-Id: " + id + "\r\n"
                                    + "Hyssopturn-Deadline-Ms: " + DEADLINE_MS + "\r\n"
                                    + "Content-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            send(out, body);
            at = seconds();
            result = String.valueOf(Http.read(socket.getInputStream()).status());
        } catch (IOException e) {
            result = "no answer (" + e.getClass().getSimpleName() + ")";
        } catch (InterruptedException e) {
            result = "interrupted";
        }
        leave.interrupt();
        double now = seconds();
        note("%s: %s, sent whole at %.3f", id, result, at);
        if (at >= 0) {
            synchronized (sent) {
                sent.add(new Sent(id, at, result.startsWith("no") ? 1e9 : now, result));
            }
        }
    }

    private static void send(OutputStream out, byte[] body)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        int piece = 65_536;
        for (int from = 0; from < body.length; from += piece) {
            out.write(body, from, Math.min(piece, body.length - from));
            long due = (long) (from * 8_000.0 / CLIENT_MBPS) - (System.nanoTime() - start);
            if (due > 1_000_000) {
                Thread.sleep(due / 1_000_000);
            }
        }
        out.flush();
    }

    private static void close(Socket socket) {
        try {
            Thread.sleep(DEADLINE_MS);
            socket.close();
        } catch (InterruptedException | IOException e) {
            // the request has ended
        }
    }

    /** CONFIG: of the requests unanswered at TimeoutMs, more than half are so 0.5 s later. */
    private boolean judge(double from) {
        int judged = 0;
        int late = 0;
        int stillLate = 0;
        synchronized (sent) {
            for (Sent s : sent) {
                if (s.at() < from || !s.id().startsWith("small")) {
                    continue;
                }
                judged++;
                double wait = (s.answeredAt() - s.at()) * 1e3;
                late += wait > TIMEOUT_MS ? 1 : 0;
                stillLate += wait > TIMEOUT_MS + GRACE_MS ? 1 : 0;
            }
        }
        note(
                "small requests sent whole %.1f s or more after the burst: %d;"
                        + " no answer at TimeoutMs: %d; nor half a second later: %d",
                8.0, judged, late, stillLate);
        return late >= 8 && stillLate * 2 > late;
    }
}
