import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long requests to workers that answer before they have read the whole body and read on later, and
 * short requests beside them. One worker turns slow, so it reads on later still.
 */
final class UnreadBodies extends Bed {
    private static final int LONG_BYTES = 2_000_000;
    private static final int SHORT_BYTES = 600;
    private static final long LONG_INTERVAL_MILLIS = 60;
    private static final long SHORT_INTERVAL_MILLIS = 50;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long GRACE_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 4_000;

    /** Time after its answer at which a worker reads the rest of a body. */
    private static final long READ_ON_MILLIS = 1_000;

    private static final double SLOWNESS = 12;
    private static final long SLOW_MILLIS = 9_000;
    private static final long CALM_MILLIS = 5_000;
    private static final int MIN_REQUESTS = 8;

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lateAtTimeout = new AtomicInteger();
    private final AtomicInteger lateAfterGrace = new AtomicInteger();
    private volatile boolean over;
    private volatile boolean slow;

    private UnreadBodies(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        run(new UnreadBodies(Path.of(args[0])));
    }

    @Override
    int play() throws Exception {
        new Worker("worker-a", "app", "", (s, r, in) -> work(s, r, in, true));
        new Worker("worker-b", "app", "", (s, r, in) -> work(s, r, in, false));
        new Worker("worker-c", "app", "", (s, r, in) -> work(s, r, in, false));
        String routes =
                route("long", "unsafe", "app", "", TIMEOUT_MILLIS)
                        + ","
                        + route("short", "unsafe", "app", "", TIMEOUT_MILLIS);
        configure(3, routes, "{\"Name\":\"app\"}");
        Node node = new Node("node-1");
        node.awaitReady();
        start("long", () -> repeat(node, "long", LONG_BYTES, LONG_INTERVAL_MILLIS));
        start("short", () -> repeat(node, "short", SHORT_BYTES, SHORT_INTERVAL_MILLIS));
        sleep(CALM_MILLIS);
        slow = trouble;
        note(trouble ? "worker-a turns slow" : "no disruption");
        sleep(SLOW_MILLIS);
        slow = false;
        note("the disruption is over");
        sleep(CALM_MILLIS);
        over = true;
        sleep(DEADLINE_MILLIS + 1_000);
        note(
                "short requests answered %d, unanswered after %d ms %d, after %d ms %d; node runs: %s"
                        .formatted(
                                answered.get(),
                                TIMEOUT_MILLIS,
                                lateAtTimeout.get(),
                                TIMEOUT_MILLIS + GRACE_MILLIS,
                                lateAfterGrace.get(),
                                node.process.isAlive()));
        boolean broken =
                lateAtTimeout.get() >= MIN_REQUESTS
                        && 2 * lateAfterGrace.get() > lateAtTimeout.get();
        return broken || !node.process.isAlive() ? 1 : 0;
    }

    private void repeat(Node node, String kind, int bytes, long intervalMillis) {
        long begin = System.nanoTime();
        for (int i = 0; !over; i++) {
            int number = i;
            start(kind, () -> call(node, kind, number, bytes));
            sleep(Math.max(1, (i + 1) * intervalMillis - millisSince(begin)));
        }
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private void call(Node node, String kind, int number, int bytes) {
        String id = kind + "-" + number;
        String result;
        long sentNanos = System.nanoTime();
        note("%s is sent, %d bytes".formatted(id, bytes));
        try (Socket socket = connect(node.front)) {
            socket.setSoTimeout(DEADLINE_MILLIS);
            String head =
                    request("POST", "/" + kind + "/x", id, number, "", bytes)
                            .replace("Ms: 15000", "Ms: " + DEADLINE_MILLIS);
            send(socket.getOutputStream(), head, new byte[bytes]);
            sentNanos = System.nanoTime();
            Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
            result = answer.line;
        } catch (IOException e) {
            result = e.toString();
        }
        long took = millisSince(sentNanos);
        if (kind.equals("short")) {
            count(took);
        }
        note("%s is answered %s after %d ms".formatted(id, result, took));
    }

    private void count(long took) {
        if (took <= TIMEOUT_MILLIS) {
            answered.incrementAndGet();
            return;
        }
        lateAtTimeout.incrementAndGet();
        if (took > TIMEOUT_MILLIS + GRACE_MILLIS) {
            lateAfterGrace.incrementAndGet();
        }
    }

    /** Answers, and reads the body of a long request later. */
    private void work(Socket socket, Message request, InputStream in, boolean turnsSlow)
            throws IOException {
        String id = request.header("Hyssopturn-Attempt-Id");
        boolean isLong = id.startsWith("long");
        note("a worker runs " + id);
        if (!isLong) {
            request.readBody(in, false);
        }
        send(
                socket.getOutputStream(),
                "HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: "
                        + id
                        + "\r\nHyssopturn-Server-Seal: seal-"
                        + id
                        + "\r\nContent-Length: 4\r\n",
                bytes("done"));
        if (isLong) {
            sleep((long) (turnsSlow && slow ? READ_ON_MILLIS * SLOWNESS : READ_ON_MILLIS));
            request.readBody(in, false);
        }
    }
}
