import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A few answers of faulty engines go on without end, with bytes that are no event. */
final class EndlessAnswer extends Case {
    private static final String IP = "127.0.0.1";
    private static final int ROUTERS = 3;
    private static final int ENGINES = 4;
    private static final int FAULTY_ENGINES = 2;
    private static final int SPOIL_EVERY = 20;
    private static final double TROUBLE_S = 5;
    private static final int EVENTS = 77;
    private static final int STREAM_CLIENTS = 98;
    private static final int BOOKING_CLIENTS = 30;
    private static final long TIMEOUT_MS = 2_000;
    private static final long GRACE_MS = 500;
    private static final int DEADLINE_MS = 4_000;

    private static final String CONFIG =
            SilentEngine.CONFIG
                    .replace(
                            "\"Routes\":[",
                            "\"Routes\":[{\"Name\":\"r-book\",\"Host\":\"a.example\","
                                    + "\"PathPrefix\":\"/book/\",\"Type\":\"unsafe\","
                                    + "\"TimeoutMs\":2000,\"TargetLatencyMs\":300,\"Priority\":2,"
                                    + "\"Service\":\"dispatch\",\"MaxAttempts\":1,"
                                    + "\"AnonymousAccess\":false},")
                    .replace(
                            "\"Services\":[",
                            "\"Services\":[{\"Name\":\"dispatch\",\"HealthPath\":\"/health\","
                                    + "\"MaxConnections\":100,\"Protocol\":\"h1\","
                                    + "\"Tls\":false},");

    private final List<Router> routers = new ArrayList<>();
    private volatile boolean over;
    private int judged;
    private int late;
    private int stillLate;

    public static void main(String[] arguments) {
        new EndlessAnswer().run(arguments[0]);
    }

    @Override
    boolean broken() throws Exception {
        Store store = new Store(IP);
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            engines.add(new Engine("i-engine-" + i, IP, EVENTS, false));
        }
        List<Plain> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new Plain("i-plain-" + i, IP));
        }
        store.put("keyed.op", "config", CONFIG);
        Http.daemon(() -> beat(store, engines, workers));
        for (int i = 0; i < ROUTERS; i++) {
            Router router = router("front-" + (i + 1), IP, IP + ":" + store.port());
            routers.add(router);
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
        sleep(3);
        for (int i = 0; i < STREAM_CLIENTS; i++) {
            String name = "s" + i;
            Router router = routers.get(i % ROUTERS);
            Http.daemon(() -> repeat(name, router, true));
            sleep(0.02);
        }
        for (int i = 0; i < BOOKING_CLIENTS; i++) {
            String name = "b" + i;
            Router router = routers.get(i % ROUTERS);
            Http.daemon(() -> repeat(name, router, false));
        }
        sleep(6);
        if (trouble) {
            note("%d of %d engines spoil 1 in %d answers", FAULTY_ENGINES, ENGINES, SPOIL_EVERY);
            engines.subList(0, FAULTY_ENGINES).forEach(e -> e.spoilEvery = SPOIL_EVERY);
        }
        sleep(TROUBLE_S);
        engines.forEach(e -> e.spoilEvery = 0);
        note("no further answer is spoiled");
        sleep(12);
        over = true;
        sleep(DEADLINE_MS / 1e3 + 0.5);
        note("answers without end: %d", engines.stream().mapToInt(e -> e.endless.get()).sum());
        synchronized (this) {
            note(
                    "bookings: %d; no answer at TimeoutMs: %d; nor half a second later: %d",
                    judged, late, stillLate);
            return late >= 8 && stillLate * 2 > late;
        }
    }

    private void beat(Store store, List<Engine> engines, List<Plain> workers) {
        try {
            for (long sequence = 1; ; sequence++) {
                for (Engine engine : engines) {
                    store.put("keyed.servers", engine.id, engine.announcement(sequence));
                }
                for (Plain worker : workers) {
                    store.put(
                            "keyed.servers", worker.id, worker.announcement("dispatch", "ready"));
                }
                Thread.sleep(1_200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends requests one after the other, each on a channel of its own. */
    private void repeat(String name, Router router, boolean stream) {
        for (int i = 0; !over; i++) {
            String id = name + "-" + i;
            double sentAt = -1;
            String end;
            try (Socket channel = new Socket()) {
                channel.connect(new InetSocketAddress(IP, router.frontPort), 1_000);
                channel.setSoTimeout(DEADLINE_MS);
                channel.getOutputStream().write(stream ? SilentEngine.request(id) : booking(id));
                sentAt = seconds();
                end = read(channel.getInputStream());
            } catch (IOException e) {
                end = "no whole answer (" + e.getMessage() + ")";
            }
            record(id, router.name, sentAt, end, !stream);
            try {
                Thread.sleep(end.startsWith("no") ? 1_000 : stream ? 50 : 400);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static byte[] booking(String id) {
        return ("POST /book/x HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\n"
                        + "Hyssopturn-Attempt-Id: " + id + "\r\n"
                        + "Hyssopturn-Deadline-Ms: " + DEADLINE_MS + "\r\n"
                        + "Content-Length: 5\r\n\r\nhello")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String read(InputStream in) throws IOException {
        Http.Message head = Http.head(in);
        if (head.header("transfer-encoding").equals("chunked")) {
            while (Http.chunk(in).length > 0) {
                // only the end of the stream matters here
            }
        } else if (!head.header("content-length").isEmpty()) {
            Http.exactly(in, Integer.parseInt(head.header("content-length")));
        }
        return "status " + head.status();
    }

    /** CONFIG: of the requests unanswered at TimeoutMs, more than half are so 0.5 s later. */
    private synchronized void record(
            String id, String router, double sentAt, String end, boolean booking) {
        note("%s at %s sent %.3f: %s", id, router, sentAt, end);
        if (!booking || sentAt < 0) {
            return;
        }
        double wait = (seconds() - sentAt) * 1e3;
        boolean unanswered = end.contains("timed out");
        judged++;
        late += unanswered || wait > TIMEOUT_MS ? 1 : 0;
        stillLate += unanswered || wait > TIMEOUT_MS + GRACE_MS ? 1 : 0;
    }
}
