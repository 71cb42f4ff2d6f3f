import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: keyed topics with one partition, and one group. */
final class Store {
    private static final int PARTITIONS = 128;

    record Entry(String key, byte[] value) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Long> members = new LinkedHashMap<>();
    private String holder = "";
    private long generation = 1;
    private final ServerSocket server;

    /** Calls that get 503; by the target of the call. */
    volatile Predicate<String> down = target -> false;

    Store(String host) throws IOException {
        server = Http.serve(host, this::serve);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void put(String topic, String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Entry(key, bytes));
        notifyAll();
    }

    private void serve(Socket socket, InputStream in) throws IOException {
        while (true) {
            Http.Message call = Http.read(in);
            String target = call.first().split(" ")[1];
            byte[] answer =
                    down.test(target)
                            ? Http.answer(503, "", new byte[0])
                            : answer(target, call);
            socket.getOutputStream().write(answer);
            socket.getOutputStream().flush();
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String part : target.substring(mark + 1).split("&")) {
                int eq = part.indexOf('=');
                query.put(
                        part.substring(0, eq),
                        URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private byte[] answer(String target, Http.Message call) throws IOException {
        Map<String, String> query = query(target);
        String topic = query.getOrDefault("Topic", "");
        if (target.startsWith("/v1/log-newest")) {
            return json(newest(topic));
        }
        if (target.startsWith("/v1/log-read")) {
            return read(
                    topic,
                    Integer.parseInt(query.get("From")),
                    Long.parseLong(query.getOrDefault("WaitMs", "0")));
        }
        if (target.startsWith("/v1/log-append")) {
            return json(append(topic, call.body()));
        }
        if (target.startsWith("/v1/log-join")) {
            return json(join(call.text()));
        }
        if (target.startsWith("/v1/log-leave")) {
            return json(leave(call.text()));
        }
        return Http.answer(404, "", new byte[0]);
    }

    private static byte[] json(String text) {
        return Http.answer(
                200,
                "Content-Type: application/json\r\n",
                text.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized String newest(String topic) {
        List<Entry> all = topics.getOrDefault(topic, List.of());
        Map<String, String> items = new LinkedHashMap<>();
        for (int i = 0; i < all.size(); i++) {
            Entry e = all.get(i);
            items.remove(e.key());
            if (e.value().length > 0) {
                items.put(
                        e.key(),
                        "{\"Key\":\"" + e.key() + "\",\"Value\":\""
                                + Base64.getEncoder().encodeToString(e.value())
                                + "\",\"Offset\":" + i + "}");
            }
        }
        return "{\"Items\":[" + String.join(",", items.values()) + "],\"HasMore\":false,\"End\":"
                + all.size() + "}";
    }

    private synchronized byte[] read(String topic, int from, long waitMs) throws IOException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        List<Entry> all = topics.getOrDefault(topic, List.of());
        while (all.size() <= from && System.nanoTime() < end) {
            try {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            all = topics.getOrDefault(topic, List.of());
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(all.size());
        out.writeLong(0);
        for (Entry e : all.subList(Math.min(from, all.size()), all.size())) {
            byte[] key = e.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + e.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(e.value());
        }
        return Http.answer(200, "", bytes.toByteArray());
    }

    private synchronized String append(String topic, byte[] body) {
        ByteBuffer in = ByteBuffer.wrap(body);
        List<Entry> all = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        int offset = all.size();
        while (in.remaining() > 4) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            int keyLength = record[0] & 0xff;
            String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = new byte[record.length - 1 - keyLength];
            System.arraycopy(record, 1 + keyLength, value, 0, value.length);
            all.add(new Entry(key, value));
        }
        notifyAll();
        return "{\"Offset\":" + offset + ",\"End\":" + all.size() + "}";
    }

    private static String member(String call) {
        Matcher m = Pattern.compile("\"Member\":\"([^\"]*)\"").matcher(call);
        return m.find() ? m.group(1) : "";
    }

    private synchronized String join(String call) {
        String member = member(call);
        long now = System.nanoTime();
        boolean changed = members.put(member, now + 3_000_000_000L) == null;
        changed |= members.values().removeIf(end -> end < now);
        if (!members.containsKey(holder)) {
            holder = member;
        }
        if (changed) {
            generation++;
        }
        List<String> names = new ArrayList<>(members.keySet());
        names.remove(holder);
        names.add(0, holder);
        int place = names.indexOf(member);
        List<String> parts = new ArrayList<>();
        for (int i = place; i < PARTITIONS; i += names.size()) {
            parts.add("[\"hyssopturn-duties-" + i / 8 + "\"," + i % 8 + ",0]");
        }
        return "{\"Generation\":" + generation + ",\"TtlMs\":3000,\"parts\":["
                + String.join(",", parts) + "]}";
    }

    private synchronized String leave(String call) {
        if (members.remove(member(call)) != null) {
            generation++;
        }
        return "{}";
    }
}
