package hyssopturn.platform;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Log store for tests with several nodes: keyed topics and a consumer group, each node on a port of
 * its own. Its content can be copied and brought back later, as a store does that returns from a
 * copy. Runs on one event loop.
 */
final class LogStoreServer implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final String ERA = "Store-Era";
    private static final int MAX_HEAD_BYTES = 262_144;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final long RETRY_MILLIS = 5;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<StoreAccess> accesses = new ArrayList<>();
    private Map<String, List<Stored>> topics = new HashMap<>();
    private final GroupState group = new GroupState();
    private long era = 1;
    private int pageSize = 500;
    private boolean namesOwners = true;

    /** How the store answers a node. */
    enum State {
        UP,
        SILENT,
        UNAVAILABLE
    }

    private static final class StoreAccess {
        private volatile State state = State.UP;
        private volatile boolean namesEra = true;
    }

    private record Stored(String key, Optional<Bytes> value, long offset) {}

    /** Content of the store at some time. */
    record Copy(Map<String, List<Stored>> topics) {}

    /** Opens a port for a node and returns its address. */
    Address open() {
        StoreAccess access = new StoreAccess();
        accesses.add(access);
        int port =
                vertx.createHttpServer(
                                new HttpServerOptions()
                                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                                        .setMaxHeaderSize(MAX_HEAD_BYTES))
                        .requestHandler(r -> handle(access, r))
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        return new Address(HOST, port);
    }

    /** Sets how the store answers one node; nodes are counted as they were opened. */
    void state(int node, State state) {
        accesses.get(node).state = state;
    }

    /** Sets how the store answers all nodes. */
    void state(State state) {
        accesses.forEach(a -> a.state = state);
    }

    /** Sets whether answers to one node name the era. */
    void namesEra(int node, boolean names) {
        accesses.get(node).namesEra = names;
    }

    /** Sets whether the store tells who holds the partitions. */
    void namesOwners(boolean names) {
        onLoop(() -> namesOwners = names);
    }

    /** Sets the greatest number of records of a page. */
    void pageSize(int size) {
        onLoop(() -> pageSize = size);
    }

    /** Writes a record; an empty value is a tombstone. */
    void write(String topic, String key, Optional<String> value) {
        onLoop(() -> store("keyed." + topic, key, value.map(Bytes::utf8)));
    }

    /** Writes several records, with no read between them. */
    void writeAll(String topic, List<Map.Entry<String, String>> records) {
        onLoop(
                () -> {
                    for (Map.Entry<String, String> r : records) {
                        store("keyed." + topic, r.getKey(), Optional.of(Bytes.utf8(r.getValue())));
                    }
                    return null;
                });
    }

    /** Returns the newest value of a key. */
    Optional<String> newest(String topic, String key) {
        return onLoop(
                () ->
                        Optional.ofNullable(newest("keyed." + topic).get(key))
                                .flatMap(Stored::value)
                                .map(Bytes::text));
    }

    /** Copies the content. */
    Copy copy() {
        return onLoop(() -> new Copy(copyOf(topics)));
    }

    /** Replaces the content by a copy, which begins a new era; the group is forgotten as well. */
    void restore(Copy copy) {
        onLoop(
                () -> {
                    topics = copyOf(copy.topics());
                    group.reset();
                    return ++era;
                });
    }

    private static Map<String, List<Stored>> copyOf(Map<String, List<Stored>> topics) {
        Map<String, List<Stored>> copy = new HashMap<>();
        topics.forEach((name, records) -> copy.put(name, new ArrayList<>(records)));
        return copy;
    }

    private <T> T onLoop(Supplier<T> task) {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(v -> done.complete(task.get()));
        return done.join();
    }

    private Long store(String topic, String key, Optional<Bytes> value) {
        List<Stored> records = records(topic);
        long offset = records.size();
        records.add(new Stored(key, value, offset));
        return offset;
    }

    private List<Stored> records(String topic) {
        return topics.computeIfAbsent(topic, t -> new ArrayList<>());
    }

    private Map<String, Stored> newest(String topic) {
        Map<String, Stored> newest = new TreeMap<>();
        for (Stored stored : records(topic)) {
            newest.put(stored.key(), stored);
        }
        newest.values().removeIf(s -> s.value().isEmpty());
        return newest;
    }

    private void handle(StoreAccess access, HttpServerRequest request) {
        if (access.state == State.SILENT) {
            return;
        }
        if (access.state == State.UNAVAILABLE) {
            request.response().setStatusCode(UNAVAILABLE).end();
            return;
        }
        request.body().onSuccess(body -> answer(access, request, body));
    }

    private void answer(StoreAccess access, HttpServerRequest request, Buffer body) {
        switch (request.path()) {
            case "/v1/log-newest" -> end(access, request, listing(request));
            case "/v1/log-read" -> read(access, request, System.nanoTime());
            case "/v1/log-append" -> end(access, request, append(request, body));
            case "/v1/log-join" -> end(access, request, group.join(body.toJsonObject()).toBuffer());
            case "/v1/log-leave" -> {
                group.leave(body.toJsonObject().getString("Member"));
                end(access, request, Buffer.buffer("{}"));
            }
            case "/v1/log-owners" -> owners(access, request);
            default -> request.response().setStatusCode(NOT_FOUND).end();
        }
    }

    private void owners(StoreAccess access, HttpServerRequest request) {
        if (namesOwners) {
            end(access, request, group.owners().toBuffer());
        } else {
            request.response().setStatusCode(NOT_FOUND).end();
        }
    }

    private void end(StoreAccess access, HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        if (access.namesEra) {
            response.putHeader(ERA, String.valueOf(era));
        }
        response.end(body);
    }

    private Buffer listing(HttpServerRequest request) {
        String topic = request.getParam("Topic");
        String after = Optional.ofNullable(request.getParam("After")).orElse("");
        List<Stored> rest =
                newest(topic).values().stream().filter(s -> s.key().compareTo(after) > 0).toList();
        JsonArray items = new JsonArray();
        rest.stream().limit(pageSize).forEach(s -> items.add(item(s)));
        return new JsonObject()
                .put("Items", items)
                .put("HasMore", rest.size() > pageSize)
                .put("End", records(topic).size())
                .toBuffer();
    }

    private static JsonObject item(Stored stored) {
        byte[] value = stored.value().orElseThrow().toArray();
        return new JsonObject()
                .put("Key", stored.key())
                .put("Value", Base64.getEncoder().encodeToString(value))
                .put("Offset", stored.offset());
    }

    /** Answers as soon as there is a record, or when the wait is over. */
    private void read(StoreAccess access, HttpServerRequest request, long begunNanos) {
        if (access.state != State.UP || request.response().closed()) {
            return;
        }
        long from = Long.parseLong(request.getParam("From"));
        long wait = Long.parseLong(Optional.ofNullable(request.getParam("WaitMs")).orElse("0"));
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunNanos);
        List<Stored> records = records(request.getParam("Topic"));
        if (from > records.size()) {
            request.response().setStatusCode(GONE);
            end(access, request, Buffer.buffer("{\"First\":0}"));
            return;
        }
        if (from == records.size() && waitedMillis < wait) {
            vertx.setTimer(RETRY_MILLIS, t -> read(access, request, begunNanos));
            return;
        }
        Buffer page = Buffer.buffer().appendLong(records.size()).appendLong(0);
        records.subList((int) from, records.size()).forEach(s -> append(page, s));
        end(access, request, page);
    }

    private static void append(Buffer page, Stored stored) {
        byte[] key = Bytes.utf8(stored.key()).toArray();
        byte[] value = stored.value().map(Bytes::toArray).orElse(new byte[0]);
        page.appendInt(1 + key.length + value.length)
                .appendByte((byte) key.length)
                .appendBytes(key)
                .appendBytes(value);
    }

    private Buffer append(HttpServerRequest request, Buffer body) {
        int keyStart = Integer.BYTES + 1;
        int valueStart = keyStart + body.getUnsignedByte(Integer.BYTES);
        String key = body.getString(keyStart, valueStart);
        Bytes value = Bytes.wrap(body.getBytes(valueStart, body.length()));
        Optional<Bytes> written = value.size() == 0 ? Optional.empty() : Optional.of(value);
        Long offset = store(request.getParam("Topic"), key, written);
        return new JsonObject().put("Offset", offset).put("End", offset + 1).toBuffer();
    }

    /** The partitions of the group that the nodes join, dealt out evenly. */
    private static final class GroupState {
        private static final int PARTITIONS = 16;
        private static final String TOPIC = "hyssopturn-duties-";

        private final List<String> members = new ArrayList<>();
        private int generation = 1;

        void reset() {
            members.clear();
            generation = 1;
        }

        JsonObject join(JsonObject message) {
            String member = message.getString("Member");
            if (!members.contains(member)) {
                members.add(member);
                generation++;
            }
            JsonArray parts = new JsonArray();
            for (int i = 0; i < PARTITIONS; i++) {
                if (owner(i).equals(member)) {
                    parts.add(new JsonArray().add(TOPIC + i).add(0).add(0));
                }
            }
            return new JsonObject().put("Generation", generation).put("parts", parts);
        }

        void leave(String member) {
            if (members.remove(member)) {
                generation++;
            }
        }

        JsonObject owners() {
            JsonArray rows = new JsonArray();
            for (int i = 0; i < PARTITIONS && !members.isEmpty(); i++) {
                rows.add(new JsonArray().add(TOPIC + i).add(0).add(owner(i)).add(0));
            }
            return new JsonObject().put("parts", rows);
        }

        private String owner(int partition) {
            return members.get(partition % members.size());
        }
    }

    @Override
    public void close() {
        vertx.close().await();
    }
}
