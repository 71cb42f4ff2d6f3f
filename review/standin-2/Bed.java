import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small test bed on loopback addresses: the platform's store, workers, callers, and the project's
 * own program as separate processes. A scenario extends it.
 */
abstract class Bed {
    static final String HOST = "127.0.0.1";
    static final int HEARTBEAT_MILLIS = 1_200;
    static final int TENANTS = 10;
    private static final int WINDOW_BYTES = 65_536;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store = new Store();
    final List<Node> nodes = new CopyOnWriteArrayList<>();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    private final Map<String, Process> workerProcesses = new ConcurrentHashMap<>();
    final Path directory = temporaryDirectory();
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;

    Bed(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    private static Path temporaryDirectory() {
        try {
            return Files.createTempDirectory("review");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs the scenario; returns the exit code. */
    abstract int play() throws Exception;

    static void run(Bed bed) {
        int code = 2;
        try {
            code = bed.play();
        } catch (Throwable e) {
            bed.note("could not run: " + e);
            e.printStackTrace();
        }
        bed.note("exit " + code);
        bed.endProcesses();
        Runtime.getRuntime().halt(code);
    }

    final void endProcesses() {
        nodes.forEach(n -> n.process.destroyForcibly());
        workerProcesses.values().forEach(Process::destroyForcibly);
    }

    /**
     * Starts a worker as a process of its own, and registers it. The scenario's main method runs it
     * with the arguments "worker" and its name; it prints its port first, and then what it does.
     */
    void startWorker(String id, String service, String more) throws IOException {
        Process process =
                new ProcessBuilder(
                                ProcessHandle.current().info().command().orElseThrow(),
                                "-Xmx64m",
                                "--enable-native-access=ALL-UNNAMED",
                                "--add-opens=java.base/sun.nio.ch=ALL-UNNAMED",
                                "-cp",
                                System.getProperty("java.class.path"),
                                getClass().getName(),
                                "worker",
                                id)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        workerProcesses.put(id, process);
        BufferedReader out = process.inputReader();
        int port = Integer.parseInt(out.readLine());
        start(
                "output",
                () -> {
                    for (String line = out.readLine(); line != null; line = out.readLine()) {
                        note(line);
                    }
                });
        new Worker(id, service, more, HOST + ":" + port, process::isAlive);
    }

    void killWorker(String id) {
        note("SIGKILL to " + id);
        workerProcesses.get(id).destroyForcibly();
    }

    synchronized void note(String line) {
        String text = "%8.3f %s".formatted((System.nanoTime() - startNanos) / 1e9, line);
        record.println(text);
        System.out.println(text);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Job job) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                job.run();
                            } catch (IOException | RuntimeException e) {
                                if (!(e instanceof EOFException)) {
                                    System.err.println(name + ": " + e);
                                }
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Job {
        void run() throws IOException;
    }

    interface Handler {
        void handle(Socket socket, Message request, InputStream in) throws IOException;
    }

    /** Accepts connections like those of a link, with small windows; each has its own thread. */
    static ServerSocket listen(Handler handler) {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            Segments.limit(channel);
            ServerSocket server = channel.socket();
            server.setReceiveBufferSize(WINDOW_BYTES);
            server.bind(new InetSocketAddress(HOST, 0), 512);
            start("accept", () -> accept(server, handler));
            return server;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void accept(ServerSocket server, Handler handler) throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            start("serve", () -> serve(socket, handler));
        }
    }

    private static void serve(Socket socket, Handler handler) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                handler.handle(socket, Message.readHead(in), in);
            }
        }
    }

    /** A message of HTTP/1.1. */
    static final class Message {
        String line = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean complete;

        static Message readHead(InputStream in) throws IOException {
            Message message = new Message();
            message.line = readLine(in);
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
            }
            return message;
        }

        static Message read(InputStream in) throws IOException {
            Message message = readHead(in);
            message.readBody(in, false);
            return message;
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String path() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        /** Reads the body as far as it arrives; whether it is whole is told by {@code complete}. */
        void readBody(InputStream in, boolean untilEnd) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            try {
                if (header("Transfer-Encoding").equals("chunked")) {
                    readChunks(in, bytes);
                } else if (headers.containsKey("Content-Length")) {
                    copy(in, Integer.parseInt(header("Content-Length")), bytes);
                } else if (untilEnd) {
                    in.transferTo(bytes);
                }
                complete = true;
            } catch (IOException e) {
                complete = false;
            }
            body = bytes.toByteArray();
        }

        private static void readChunks(InputStream in, ByteArrayOutputStream out)
                throws IOException {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                copy(in, size, out);
                readLine(in);
            }
            readLine(in);
        }

        private static int chunkSize(InputStream in) throws IOException {
            return Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
        }

        private static void copy(InputStream in, int size, ByteArrayOutputStream out)
                throws IOException {
            byte[] buffer = new byte[16_384];
            for (int left = size; left > 0; ) {
                int read = in.read(buffer, 0, Math.min(left, buffer.length));
                if (read < 0) {
                    throw new EOFException();
                }
                out.write(buffer, 0, read);
                left -= read;
            }
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new EOFException();
                }
                if (next != '\r') {
                    line.write(next);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }
    }

    static void send(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void answer(Socket socket, int status, byte[] body) throws IOException {
        send(
                socket.getOutputStream(),
                "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n",
                body);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The platform's store: a log with keyed topics and one kind of group. */
    final class Store {
        private final ServerSocket server = listen(this::handle);
        private final Map<String, Topic> topics = new HashMap<>();
        private final Map<String, Long> members = new LinkedHashMap<>();
        private List<String> groupTopics = List.of();
        private long generation = 1;

        final class Topic {
            final List<byte[]> records = new ArrayList<>();
            final Map<String, Integer> newest = new TreeMap<>();

            void add(byte[] content) {
                int size = content[0] & 0xff;
                String key = new String(content, 1, size, StandardCharsets.UTF_8);
                if (content.length == 1 + size) {
                    newest.remove(key);
                } else {
                    newest.put(key, records.size());
                }
                records.add(content);
            }
        }

        String address() {
            return HOST + ":" + server.getLocalPort();
        }

        /** Writes a record; the return is the acknowledgement. */
        synchronized void put(String topic, String key, String value) {
            ByteArrayOutputStream content = new ByteArrayOutputStream();
            content.write(key.length());
            content.writeBytes(bytes(key));
            content.writeBytes(bytes(value));
            topic("keyed." + topic).add(content.toByteArray());
            notifyAll();
        }

        synchronized void remove(String topic, String key) {
            put(topic, key, "");
        }

        private Topic topic(String name) {
            return topics.computeIfAbsent(name, n -> new Topic());
        }

        private void handle(Socket socket, Message request, InputStream in) throws IOException {
            request.readBody(in, false);
            String[] target = request.path().split("\\?");
            Map<String, String> query = query(target.length > 1 ? target[1] : "");
            switch (target[0]) {
                case "/v1/log-newest" -> answer(socket, 200, bytes(newest(query.get("Topic"))));
                case "/v1/log-read" -> answer(socket, 200, read(query));
                case "/v1/log-append" -> append(socket, query.get("Topic"), request.body);
                case "/v1/log-join" -> answer(socket, 200, bytes(join(text(request.body))));
                case "/v1/log-leave" -> answer(socket, 200, bytes(leave(text(request.body))));
                case "/v1/log-owners" -> answer(socket, 200, bytes(owners()));
                default -> answer(socket, 404, new byte[0]);
            }
        }

        private static String text(byte[] body) {
            return new String(body, StandardCharsets.UTF_8);
        }

        private Map<String, String> query(String text) {
            Map<String, String> query = new HashMap<>();
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    query.put(
                            pair.substring(0, equals),
                            URLDecoder.decode(
                                    pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        private synchronized String newest(String name) {
            Topic topic = topic(name);
            List<String> items = new ArrayList<>();
            topic.newest.forEach(
                    (key, offset) -> {
                        byte[] content = topic.records.get(offset);
                        int from = 1 + (content[0] & 0xff);
                        byte[] value = java.util.Arrays.copyOfRange(content, from, content.length);
                        items.add(
                                "{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%d}"
                                        .formatted(
                                                key,
                                                Base64.getEncoder().encodeToString(value),
                                                offset));
                    });
            return "{\"Items\":[%s],\"HasMore\":false,\"End\":%d}"
                    .formatted(String.join(",", items), topic.records.size());
        }

        private synchronized byte[] read(Map<String, String> query) throws IOException {
            Topic topic = topic(query.get("Topic"));
            int from = Integer.parseInt(query.get("From"));
            long until =
                    System.nanoTime()
                            + TimeUnit.MILLISECONDS.toNanos(
                                    Long.parseLong(query.getOrDefault("WaitMs", "0")));
            while (topic.records.size() <= from && System.nanoTime() < until) {
                long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime()) + 1;
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(topic.records.size());
            out.writeLong(0);
            for (int i = from; i < topic.records.size(); i++) {
                out.writeInt(topic.records.get(i).length);
                out.write(topic.records.get(i));
            }
            return bytes.toByteArray();
        }

        private synchronized void append(Socket socket, String name, byte[] body)
                throws IOException {
            Topic topic = topic(name);
            int offset = topic.records.size();
            for (int at = 0; at < body.length; ) {
                int size = java.nio.ByteBuffer.wrap(body, at, 4).getInt();
                topic.add(java.util.Arrays.copyOfRange(body, at + 4, at + 4 + size));
                at += 4 + size;
            }
            notifyAll();
            answer(
                    socket,
                    200,
                    bytes("{\"Offset\":%d,\"End\":%d}".formatted(offset, topic.records.size())));
        }

        private synchronized String join(String body) {
            String member = field(body, "Member");
            if (groupTopics.isEmpty()) {
                Matcher list = Pattern.compile("\"Topics\":\\[([^]]*)]").matcher(body);
                list.find();
                groupTopics = List.of(list.group(1).replace("\"", "").split(","));
            }
            long now = System.nanoTime();
            long lifetime = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(number(body, "TtlMs")));
            boolean changed = members.values().removeIf(until -> until < now);
            changed |= members.put(member, now + lifetime) == null;
            generation += changed ? 1 : 0;
            List<String> rows = new ArrayList<>();
            forEachPart((part, owner) -> rows.addAll(owner.equals(member) ? List.of(part) : List.of()));
            return "{\"Generation\":%d,\"parts\":[%s]}"
                    .formatted(generation, rows(rows, r -> "[" + r + ",0]"));
        }

        private static String rows(
                List<String> rows, java.util.function.UnaryOperator<String> format) {
            return String.join(",", rows.stream().map(format).toList());
        }

        private void forEachPart(java.util.function.BiConsumer<String, String> visit) {
            List<String> present = List.copyOf(members.keySet());
            int number = 0;
            for (String topic : groupTopics) {
                for (int part = 0; part < 8 && !present.isEmpty(); part++) {
                    String owner = present.get(number++ % present.size());
                    visit.accept("\"" + topic + "\"," + part, owner);
                }
            }
        }

        private synchronized String owners() {
            List<String> rows = new ArrayList<>();
            forEachPart((part, owner) -> rows.add("[" + part + ",\"" + owner + "\",0]"));
            return "{\"parts\":[" + String.join(",", rows) + "]}";
        }

        private synchronized String leave(String body) {
            if (members.remove(field(body, "Member")) != null) {
                generation++;
            }
            return "{}";
        }

        private static String field(String body, String name) {
            Matcher found = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
            found.find();
            return found.group(1);
        }

        private static String number(String body, String name) {
            Matcher found = Pattern.compile("\"" + name + "\":(\\d+)").matcher(body);
            found.find();
            return found.group(1);
        }
    }

    /** A worker that registers itself in the store, and answers as a scenario says. */
    final class Worker {
        final String id;
        final String service;
        final String address;
        final long born = System.currentTimeMillis();
        private final BooleanSupplier alive;
        volatile String state = "ready";
        private volatile String more;
        private long sequence;

        /** Creates a worker that answers in this process. */
        Worker(String id, String service, String more, Handler handler) {
            this(id, service, more, HOST + ":" + listen(handler).getLocalPort(), () -> true);
        }

        /** Creates a worker at an address; it writes its entry while it is alive. */
        Worker(
                String id, String service, String more, String address, BooleanSupplier alive) {
            this.id = id;
            this.service = service;
            this.more = more;
            this.address = address;
            this.alive = alive;
            workers.add(this);
            start(
                    "heartbeat",
                    () -> {
                        while (true) {
                            beat();
                            sleep(HEARTBEAT_MILLIS);
                        }
                    });
        }

        /** Sets further fields of the entry, and writes it. */
        void say(String fields) {
            more = fields;
            beat();
        }

        synchronized void beat() {
            if (alive.getAsBoolean()) {
                store.put(
                        "servers",
                        id,
                        ("{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"z1\",\"Version\":1,"
                                        + "\"Slots\":6,\"State\":\"%s\",\"ColdLeftMs\":0,"
                                        + "\"born\":%d,\"Sequence\":%d%s}")
                                .formatted(service, address, state, born, ++sequence, more));
            }
        }
    }

    /** One process of the program, started with the command of the deploy file. */
    final class Node {
        final String name;
        final int front = freePort();
        final int ready = freePort();
        final int internal = freePorts();
        private final Path settings;
        Process process;

        Node(String name) throws IOException {
            this.name = name;
            settings = directory.resolve(name + ".toml");
            Files.writeString(settings, settings());
            startProcess();
            nodes.add(this);
        }

        void startProcess() throws IOException {
            String deploy = Files.readString(Path.of("deploy/system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
            run.find();
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            builder.environment().put("HYSSOPTURN_CONFIG", settings.toString());
            process =
                    builder.redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            directory.resolve(name + ".log").toFile()))
                            .start();
        }

        void signal(String signal) throws IOException {
            note("SIG" + signal + " to " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        boolean ready() {
            try (Socket socket = connect(ready)) {
                socket.setSoTimeout(1_000);
                send(socket.getOutputStream(), "GET /v1/ready HTTP/1.1\r\nHost: x\r\n", new byte[0]);
                return Message.read(new BufferedInputStream(socket.getInputStream())).status()
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            for (int i = 0; i < 300; i++) {
                if (ready()) {
                    note(name + " is ready");
                    return;
                }
                sleep(100);
            }
            throw new IllegalStateException(name + " does not become ready");
        }

        private String settings() {
            return """
            Node = "%s"
            Role = "router"
            MachineClass = "front"
            Serves = ["front"]
            Ip = "127.0.0.1"
            Zone = "z1"
            Region = "r1"
            InternalPorts = [%d,%d]
            Seeds = []
            Bootstrap = true
            Discovery = "platform"
            Entry = "virtual_ip"
            HeartbeatMs = 1200
            Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
            [Zones]
            z1 = "r1"
            [Listen]
            Front = "127.0.0.1:%d"
            ReadinessAddress = "127.0.0.1:%d"
            [Limits]
            CpuShare = 0.75
            Cores = 1
            MemoryMb = 430
            MaxFds = 4200
            LinkMbps = 1000.0
            DiskMb = 0
            [Bounds]
            SeedLagS = 3
            ReuseAfterS = 2
            StableWindowMs = 3000
            AckMs = 4000
            CatchUpS = 4
            DrainMs = 2000
            GraceS = 8
            LossSlackMs = 200
            ConfigApplyMs = 2000
            RollbackSlackMs = 250
            StretchMs = 5000
            StrictRevoke = false
            RevokeMs = 5000
            BudgetRatio = 0.2
            BudgetWindowS = 10
            BudgetSlack = 198
            RecoveryS = 12
            PassMs = 120
            RetryAfterS = 0
            stall_ms = 2500
            RequireFencing = true
            [Platform]
            Address = "%s"
            form = "log"
            WritesPerS = 400
            ReadsPerS = 2000
            parts = 8
            AppendMs = 4.0
            PartMbPerS = 20.0
            ReadMbPerS = 80.0
            RecordBytes = 262144
            CallBytes = 2097152
            keep_s = 20
            PartMb = 200
            TtlMinMs = 1000
            """
                    .formatted(
                            name, internal, internal + 15, front, ready, store.address());
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName(HOST), port), 1_000);
        return socket;
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the first of sixteen ports that are free. */
    static int freePorts() {
        for (int first = 20_000 + (int) (System.nanoTime() & 0x1fff); first < 32_000; first += 16) {
            if (allFree(first)) {
                return first;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private static boolean allFree(int first) {
        for (int port = first; port < first + 16; port++) {
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName(HOST));
                    java.net.DatagramSocket udp =
                            new java.net.DatagramSocket(port, InetAddress.getByName(HOST))) {
                tcp.getLocalPort();
                udp.getLocalPort();
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    /** Writes a configuration like that of a small deployment. */
    void configure(long version, String routes, String services) {
        configure(version, routes, services, List.of());
    }

    /** Writes a configuration with further tenants, whose keys follow those of the others. */
    void configure(long version, String routes, String services, List<String> furtherTenants) {
        store.put(
                "op",
                "config",
                ("{\"Version\":%d,\"Routes\":[%s],\"Services\":[%s],"
                                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                                + "\"HeaderTimeoutMs\":10000,\"IdleTimeoutMs\":15000},"
                                + "\"Tenants\":[%s]}")
                        .formatted(version, routes, services, tenants(furtherTenants)));
        note("configuration " + version + " is acknowledged");
    }

    /** Describes a service of model workers, each of which has memory for all four layers. */
    static String engine(String service) {
        return ("{\"Name\":\"%s\",\"Engine\":{\"Layers\":4,\"LayerMb\":1.0,\"KvTokenBytes\":80,"
                        + "\"step_ms\":1.0,\"read_per_s\":1000.0,\"PipeMbps\":1000.0,"
                        + "\"usual\":{\"prompt\":10,\"answer\":10},"
                        + "\"Kinds\":[{\"Name\":\"k\",\"SizeMb\":1000.0,\"pace\":1.0,\"ReadX\":1.0}],"
                        + "\"Models\":[{\"Name\":\"m\",\"LoadS\":1.0}]}}")
                .formatted(service);
    }

    private static String tenants(List<String> further) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            names.add("t" + i);
        }
        names.addAll(further);
        List<String> tenants = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            tenants.add("{\"Name\":\"%s\",\"ApiKeys\":[\"key%d\"]}".formatted(names.get(i), i));
        }
        return String.join(",", tenants);
    }

    static String route(String name, String type, String service, String more) {
        return route(name, type, service, more, 20_000);
    }

    static String route(
            String name, String type, String service, String more, long timeoutMillis) {
        return ("{\"Name\":\"%s\",\"Host\":\"h.example\",\"PathPrefix\":\"/%s/\",\"Type\":\"%s\","
                        + "\"TimeoutMs\":%d,\"TargetLatencyMs\":500,\"MaxAttempts\":2,"
                        + "\"Priority\":1,\"Service\":\"%s\"%s}")
                .formatted(name, name, type, timeoutMillis, service, more);
    }

    static String request(
            String method, String path, String id, int tenant, String more, int bodyBytes) {
        return requestWithKey(method, path, id, tenant % TENANTS, more, bodyBytes);
    }

    static String requestWithKey(
            String method, String path, String id, int key, String more, int bodyBytes) {
        return ("%s %s HTTP/1.1\r\nHost: h.example\r\nHyssopturn-Attempt-Id: %s\r\n"
                        + "Hyssopturn-Deadline-Ms: 15000\r\nX-Api-Key: key%d\r\n"
                        + "Content-Length: %d\r\n%s")
                .formatted(method, path, id, key, bodyBytes, more);
    }
}
