import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A model worker that holds all layers and streams numbered events. */
final class Engine {
    private static final int GAP_MS = 35;
    private static final int SPOILED_AFTER = 3;
    private static final int PIECE_BYTES = 256;
    private static final int ENDLESS_MBPS = 16;

    final String id;
    final String address;

    /** Number of requests that ran here, by attempt id. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /** Number of refusals, by attempt id. */
    final Map<String, Integer> refusals = new ConcurrentHashMap<>();

    /** Answers that went on without end, until the caller closed. */
    final AtomicInteger endless = new AtomicInteger();

    /** While above 0, every n-th answer turns into bytes without end. */
    volatile int spoilEvery;

    private final int events;
    private final boolean full;
    private final AtomicInteger started = new AtomicInteger();
    private volatile long silentUntilNanos = System.nanoTime();

    /**
     * Starts an engine whose answers have a number of events. A full one has no memory for a
     * further request and refuses it.
     */
    Engine(String id, String ip, int events, boolean full) throws IOException {
        this.id = id;
        this.events = events;
        this.full = full;
        address = ip + ":" + Http.serve(ip, this::serve).getLocalPort();
    }

    /** Sends nothing for a time, and goes on after that. */
    void fallSilent(long millis) {
        silentUntilNanos = System.nanoTime() + millis * 1_000_000;
    }

    boolean silent() {
        return System.nanoTime() < silentUntilNanos;
    }

    String announcement(long sequence) {
        return "{\"Service\":\"model\",\"Address\":\"" + address
                + "\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":134,\"State\":\"ready\","
                + "\"ColdLeftMs\":0,\"Type\":\"card\",\"Stage\":\"hybrid\","
                + "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
                + "\"Layers\":{\"From\":0,\"To\":80,\"Version\":1},\"born\":1,\"Sequence\":"
                + sequence + "}";
    }

    private void awaitVoice() throws IOException {
        try {
            while (silent()) {
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void serve(Socket socket, InputStream in) throws IOException {
        OutputStream out = socket.getOutputStream();
        Http.Message request = Http.read(in);
        awaitVoice();
        if (request.first().startsWith("GET /v1/report")) {
            byte[] report = "{\"Stage\":\"hybrid\",\"Stalled\":[]}".getBytes();
            out.write(Http.answer(200, "Content-Type: application/json\r\n", report));
        } else if (request.first().startsWith("POST /v1/order")) {
            out.write(Http.answer(409, "", new byte[0]));
        } else if (full) {
            refusals.merge(request.header("Hyssopturn-Attempt-Id"), 1, Integer::sum);
            out.write(
                    Http.answer(
                            503,
                            "Hyssopturn-Attempt-Id: " + request.header("Hyssopturn-Attempt-Id")
                                    + "\r\nHyssopturn-Not-Executed: 1\r\nAt-Server: " + address
                                    + "\r\n",
                            new byte[0]));
        } else {
            stream(out, request);
        }
        out.flush();
    }

    private void stream(OutputStream out, Http.Message request) throws IOException {
        String attempt = request.header("Hyssopturn-Attempt-Id");
        runs.merge(attempt, 1, Integer::sum);
        String last = request.header("Last-Event-Id");
        int first = last.isEmpty() ? 0 : Integer.parseInt(last) + 1;
        out.write(
                ("HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: " + attempt
                                + "\r\nHyssopturn-Server-Seal: " + id
                                + "\r\nContent-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        int every = spoilEvery;
        boolean spoiled = every > 0 && started.incrementAndGet() % every == 0;
        for (int i = first; i < events; i++) {
            awaitVoice();
            if (spoiled && i == first + SPOILED_AFTER) {
                writeWithoutEnd(out);
                return;
            }
            byte[] event = event(attempt, i).getBytes(StandardCharsets.ISO_8859_1);
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes());
            out.write(event);
            out.write("\r\n".getBytes());
            out.flush();
            try {
                Thread.sleep(GAP_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
        out.write("0\r\n\r\n".getBytes());
    }

    /** Writes chunks of bytes that are no event, until the caller closes the connection. */
    private void writeWithoutEnd(OutputStream out) throws IOException {
        endless.incrementAndGet();
        byte[] piece = new byte[PIECE_BYTES];
        Arrays.fill(piece, (byte) 'z');
        byte[] size = (Integer.toHexString(PIECE_BYTES) + "\r\n").getBytes();
        long start = System.nanoTime();
        for (long sent = 0; ; sent += PIECE_BYTES) {
            out.write(size);
            out.write(piece);
            out.write("\r\n".getBytes());
            out.flush();
            long due = sent * 8_000 / ENDLESS_MBPS - (System.nanoTime() - start);
            try {
                Thread.sleep(Math.max(0, due / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    static String event(String attempt, int number) {
        return "id: " + number + "\ndata: " + attempt + "/" + number + "\n\n";
    }
}
