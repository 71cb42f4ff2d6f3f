import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams with long requests at three model workers that begin to answer before they have read the
 * whole body, without a length. One worker, a process of its own, is killed amid its streams.
 */
final class TornStream extends Bed {
    private static final int REQUESTS = 12;
    private static final int BODY_BYTES = 2_000_000;
    private static final int EVENTS = 40;
    private static final long EVENT_MILLIS = 40;
    private static final long KILL_MILLIS = 900;
    private static final long PLACE_MILLIS = 2_000;

    private TornStream(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException, InterruptedException {
        if (args[0].equals("worker")) {
            runWorker(args[1]);
        } else {
            run(new TornStream(Path.of(args[0])));
        }
    }

    @Override
    int play() throws Exception {
        for (String id : List.of("worker-a", "worker-b", "worker-c")) {
            startWorker(id, "llm", ",\"Type\":\"k\",\"Layers\":{\"From\":0,\"To\":4}");
        }
        String more = ",\"GapAimMs\":200,\"StreamResume\":true";
        configure(3, route("write", "streaming", "llm", more), engine("llm"));
        Node node = new Node("node-1");
        node.awaitReady();
        sleep(PLACE_MILLIS);
        AtomicInteger torn = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(REQUESTS);
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            start("client", () -> call(node, number, torn, ended));
        }
        if (trouble) {
            sleep(KILL_MILLIS);
            killWorker("worker-a");
        }
        if (!ended.await(40, TimeUnit.SECONDS)) {
            throw new IllegalStateException("some streams have not ended");
        }
        note("streams that ended as complete before their last event: " + torn);
        return torn.get() > 0 ? 1 : 0;
    }

    private void call(Node node, int number, AtomicInteger torn, CountDownLatch ended) {
        String id = "s" + number;
        note("%s is sent, %d bytes".formatted(id, BODY_BYTES));
        try (Socket socket = connect(node.front)) {
            socket.setSoTimeout(20_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String more = "Hyssopturn-Token-Counts: 10," + EVENTS + "\r\n";
            send(
                    socket.getOutputStream(),
                    request("POST", "/write/x", id, number, more, BODY_BYTES),
                    new byte[BODY_BYTES]);
            Message answer = Message.read(in);
            String text = new String(answer.body, StandardCharsets.UTF_8);
            int events = text.split("id: ", -1).length - 1;
            boolean success = answer.status() / 100 == 2;
            note(
                    "%s answered: %s, %d of %d events, complete: %s"
                            .formatted(id, answer.line, events, EVENTS, answer.complete));
            if (success && answer.complete && events < EVENTS) {
                torn.incrementAndGet();
            }
        } catch (IOException e) {
            note(id + " ended without an answer: " + e);
        } finally {
            ended.countDown();
        }
    }

    private static void runWorker(String id) throws InterruptedException {
        ServerSocket server = listen((socket, request, in) -> work(id, socket, request, in));
        System.out.println(server.getLocalPort());
        new CountDownLatch(1).await();
    }

    /** Sends the events, then reads the rest of the body. */
    private static void work(String id, Socket socket, Message request, InputStream in)
            throws IOException {
        if (request.path().startsWith("/v1/")) {
            request.readBody(in, false);
            answer(socket, 200, bytes("{\"Stalled\":[]}"));
            return;
        }
        String attempt = request.header("Hyssopturn-Attempt-Id");
        String last = request.header("Last-Event-Id");
        int first = last.isEmpty() ? 0 : Integer.parseInt(last) + 1;
        System.out.println(id + " runs " + attempt + " from event " + first);
        OutputStream out = socket.getOutputStream();
        send(
                out,
                "HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: "
                        + attempt
                        + "\r\nHyssopturn-Server-Seal: seal-"
                        + attempt
                        + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n",
                new byte[0]);
        for (int event = first; event < EVENTS; event++) {
            out.write(bytes("id: " + event + "\ndata: token\n\n"));
            out.flush();
            sleep(EVENT_MILLIS);
        }
        request.readBody(in, false);
        System.out.println(id + " has sent all events of " + attempt);
        socket.close();
        throw new EOFException();
    }
}
