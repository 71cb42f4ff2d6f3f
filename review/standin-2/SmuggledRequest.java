import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListSet;

/** Requests whose bodies hold the bytes of another request, with a framing that is ambiguous. */
final class SmuggledRequest extends Bed {
    private static final int ROUNDS = 5;
    private static final int READ_MILLIS = 1_500;

    /** Framing headers of the outer request; the body has an empty first chunk in the first form. */
    private enum Framing {
        LENGTH_AND_CHUNKED("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        UNKNOWN_CODING("Transfer-Encoding: gzip\r\n", "");

        private final String headers;
        private final String prefix;

        Framing(String headers, String prefix) {
            this.headers = headers;
            this.prefix = prefix;
        }
    }

    private final Set<String> runs = new ConcurrentSkipListSet<>();

    private SmuggledRequest(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        run(new SmuggledRequest(Path.of(args[0])));
    }

    @Override
    int play() throws Exception {
        for (String id : List.of("worker-a", "worker-b", "worker-c")) {
            new Worker(id, "app", "", this::work);
        }
        configure(3, route("book", "unsafe", "app", ""), "{\"Name\":\"app\"}");
        Node node = new Node("node-1");
        node.awaitReady();
        Set<String> sent = new TreeSet<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (Framing framing : Framing.values()) {
                String id = "outer-" + framing.name().toLowerCase() + "-" + round;
                sent.add(id);
                call(node, framing, id, "inner-" + framing.name().toLowerCase() + "-" + round);
            }
        }
        runs.removeAll(sent);
        note("run, though no client sent a request of this id: " + runs);
        return runs.isEmpty() ? 0 : 1;
    }

    private void call(Node node, Framing framing, String id, String inner) throws IOException {
        String smuggled =
                "POST /book/other HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key1\r\n"
                        + "Hyssopturn-Attempt-Id: "
                        + inner
                        + "\r\nHyssopturn-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
        String body = (trouble ? framing.prefix : "") + smuggled;
        String headers =
                (trouble ? framing.headers : "Content-Length: %d\r\n").formatted(body.length());
        String head =
                "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key1\r\n"
                        + "Hyssopturn-Attempt-Id: "
                        + id
                        + "\r\nHyssopturn-Deadline-Ms: 3000\r\n"
                        + headers;
        note(id + " is sent with " + headers.replace("\r\n", "; ") + body.length() + " bytes");
        try (Socket socket = connect(node.front)) {
            socket.setSoTimeout(READ_MILLIS);
            send(socket.getOutputStream(), head, bytes(body));
            note(id + " is answered " + answers(socket));
        }
    }

    private static List<String> answers(Socket socket) {
        List<String> answers = new ArrayList<>();
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Message answer = Message.read(in);
                answers.add(
                        answer.status() + " of " + answer.header("Hyssopturn-Attempt-Id"));
            }
        } catch (IOException e) {
            return answers;
        }
    }

    private void work(Socket socket, Message request, InputStream in) throws IOException {
        request.readBody(in, false);
        String id = request.header("Hyssopturn-Attempt-Id");
        runs.add(id);
        note("a worker runs " + id + ", a body of " + request.body.length + " bytes");
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
