package hyssopturn.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.port.FailedException;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.RefusedException;
import hyssopturn.port.TrimmedException;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's log store, and the one client for it. */
final class Store implements KeyedLog {
    /** Stream of the operator's configuration. */
    static final String CONFIG = "op";

    /** Stream of the endpoints' announcements. */
    static final String ENDPOINTS = "servers";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
    private static final String KEYED = "keyed.";
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int BUSY = 429;
    private static final int UNAVAILABLE = 503;
    private static final int HEAD_BYTES = 16;
    private static final int LENGTH_BYTES = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpCalls calls;
    private final Address address;

    Store(HttpCalls calls, Address address) {
        this.calls = calls;
        this.address = address;
    }

    @Override
    public CompletableFuture<Page> newest(String stream) {
        return newest(stream, "", new ArrayList<>(), Long.MAX_VALUE);
    }

    /** Pages are no snapshot, so reading goes on from the end that the first page showed. */
    private CompletableFuture<Page> newest(
            String stream, String after, List<Entry> entries, long end) {
        String uri = "/v1/log-newest?Topic=" + KEYED + stream + "&part=0";
        return get(after.isEmpty() ? uri : uri + "&After=" + after, CALL_TIMEOUT)
                .thenCompose(
                        body -> {
                            JsonNode page = json(body);
                            String last = "";
                            for (JsonNode item : page.path("Items")) {
                                entries.add(entry(item));
                                last = item.path("Key").asText();
                            }
                            long first = Math.min(end, JsonValue.whole(page, "End"));
                            if (page.path("HasMore").asBoolean() && !last.isEmpty()) {
                                return newest(stream, last, entries, first);
                            }
                            return CompletableFuture.completedFuture(new Page(entries, first));
                        });
    }

    private static Entry entry(JsonNode item) {
        Optional<Bytes> value =
                item.hasNonNull("Value")
                        ? Optional.of(
                                Bytes.wrap(Base64.getDecoder().decode(item.path("Value").asText())))
                        : Optional.empty();
        return new Entry(item.path("Key").asText(), value, item.path("Offset").asLong());
    }

    @Override
    public CompletableFuture<Void> append(String stream, String key, Bytes value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        Buffer record =
                Buffer.buffer()
                        .appendInt(1 + name.length + value.size())
                        .appendByte((byte) name.length)
                        .appendBytes(name)
                        .appendBytes(value.toArray());
        String uri = "/v1/log-append?Topic=" + KEYED + stream + "&part=0";
        return calls.call(HttpMethod.POST, address, uri, Map.of(), record, CALL_TIMEOUT)
                .thenAccept(Store::checked);
    }

    @Override
    public CompletableFuture<Page> read(String stream, long from, Duration wait) {
        String uri =
                "/v1/log-read?Topic=%s%s&part=0&From=%d".formatted(KEYED, stream, from)
                        + (wait.isZero() ? "" : "&WaitMs=" + wait.toMillis());
        return get(uri, wait.plus(CALL_TIMEOUT)).thenApply(body -> page(body, from));
    }

    private static Page page(Buffer body, long from) {
        if (body.length() < HEAD_BYTES) {
            throw new FailedException("log page of " + body.length() + " bytes");
        }
        List<Entry> entries = new ArrayList<>();
        long offset = Math.max(from, body.getLong(Long.BYTES));
        int at = HEAD_BYTES;
        while (at + LENGTH_BYTES <= body.length()) {
            int size = body.getInt(at);
            at += LENGTH_BYTES;
            if (size < 1 || at + size > body.length()) {
                throw new FailedException("log record of " + size + " bytes is cut off");
            }
            entries.add(keyed(body, at, size, offset++));
            at += size;
        }
        return new Page(entries, offset);
    }

    private static Entry keyed(Buffer body, int at, int size, long offset) {
        int keySize = Math.min(body.getUnsignedByte(at), size - 1);
        int valueAt = at + 1 + keySize;
        String key = body.getString(at + 1, valueAt, StandardCharsets.UTF_8.name());
        int end = at + size;
        return new Entry(
                key,
                valueAt < end
                        ? Optional.of(Bytes.wrap(body.getBytes(valueAt, end)))
                        : Optional.empty(),
                offset);
    }

    /** Posts a JSON message and reads the JSON answer. */
    CompletableFuture<JsonNode> post(String uri, Object message) {
        Buffer body;
        try {
            body = Buffer.buffer(JSON.writeValueAsBytes(message));
        } catch (IOException e) {
            throw new IllegalStateException("message has no JSON form", e);
        }
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        return calls.call(HttpMethod.POST, address, uri, headers, body, CALL_TIMEOUT)
                .thenApply(answer -> json(checked(answer)));
    }

    private CompletableFuture<Buffer> get(String uri, Duration timeout) {
        return calls.call(HttpMethod.GET, address, uri, Map.of(), Buffer.buffer(), timeout)
                .thenApply(Store::checked);
    }

    private static Buffer checked(HttpCalls.Answer answer) {
        return switch (answer.status()) {
            case OK -> answer.body();
            case GONE -> throw new TrimmedException("records are no longer kept");
            case BUSY, UNAVAILABLE ->
                    throw new RefusedException(
                            RefusedException.Reason.OVERLOADED, "store: " + answer.status());
            default -> throw new FailedException("store: " + answer.status());
        };
    }

    private static JsonNode json(Buffer body) {
        try {
            return JSON.readTree(body.getBytes());
        } catch (IOException e) {
            throw new FailedException("store sent no JSON: " + e.getMessage());
        }
    }
}
