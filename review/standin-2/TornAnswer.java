import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long requests to three workers that answer before they have read the whole body, without a length.
 * One worker, a process of its own, is killed while it answers.
 */
final class TornAnswer extends Bed {
    private static final int REQUESTS = 12;
    private static final int BODY_BYTES = 2_000_000;
    private static final int ANSWER_BYTES = 8_000;
    private static final int FIRST_PART_BYTES = 4_000;
    private static final long WORK_MILLIS = 1_500;
    private static final long KILL_MILLIS = 700;

    private TornAnswer(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException, InterruptedException {
        if (args[0].equals("worker")) {
            runWorker(args[1]);
        } else {
            run(new TornAnswer(Path.of(args[0])));
        }
    }

    @Override
    int play() throws Exception {
        for (String id : List.of("worker-a", "worker-b", "worker-c")) {
            startWorker(id, "app", "");
        }
        configure(3, route("book", "unsafe", "app", ""), "{\"Name\":\"app\"}");
        Node node = new Node("node-1");
        node.awaitReady();
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
        if (!ended.await(30, TimeUnit.SECONDS)) {
            throw new IllegalStateException("some requests have not ended");
        }
        note("successes whose body is not the worker's whole body: " + torn);
        return torn.get() > 0 ? 1 : 0;
    }

    private void call(Node node, int number, AtomicInteger torn, CountDownLatch ended) {
        String id = "r" + number;
        note("%s is sent, %d bytes".formatted(id, BODY_BYTES));
        try (Socket socket = connect(node.front)) {
            socket.setSoTimeout(20_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            send(
                    socket.getOutputStream(),
                    request("POST", "/book/x", id, number, "", BODY_BYTES),
                    new byte[BODY_BYTES]);
            Message answer = Message.read(in);
            note(
                    "%s answered: %s, seal %s, length %s, %d of %d bytes, complete: %s"
                            .formatted(
                                    id,
                                    answer.line,
                                    answer.header("Hyssopturn-Server-Seal"),
                                    answer.header("Content-Length"),
                                    answer.body.length,
                                    ANSWER_BYTES,
                                    answer.complete));
            boolean success = answer.status() / 100 == 2 && answer.complete;
            if (success && answer.body.length != ANSWER_BYTES) {
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

    /** Sends half of the answer, works, sends the rest, and then reads the rest of the body. */
    private static void work(String id, Socket socket, Message request, InputStream in)
            throws IOException {
        String attempt = request.header("Hyssopturn-Attempt-Id");
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'w');
        OutputStream out = socket.getOutputStream();
        System.out.println(id + " runs " + attempt);
        send(
                out,
                "HTTP/1.1 200 OK\r\nHyssopturn-Attempt-Id: "
                        + attempt
                        + "\r\nHyssopturn-Server-Seal: seal-"
                        + attempt
                        + "\r\nConnection: close\r\n",
                Arrays.copyOf(answer, FIRST_PART_BYTES));
        sleep(WORK_MILLIS);
        out.write(answer, FIRST_PART_BYTES, ANSWER_BYTES - FIRST_PART_BYTES);
        out.flush();
        request.readBody(in, false);
        System.out.println(id + " has sent the whole answer to " + attempt);
        socket.close();
        throw new EOFException();
    }
}
