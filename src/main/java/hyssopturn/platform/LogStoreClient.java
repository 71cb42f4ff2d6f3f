package hyssopturn.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.port.FailedException;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.RefusedException;
import hyssopturn.port.TrimmedException;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** HTTP client of the platform's log store. */
final class LogStoreClient implements KeyedLog {
    /** Stream of the operator's configuration. */
    static final String CONFIG_STREAM = "op";

    /** Stream of the endpoints' announcements. */
    static final String ENDPOINT_STREAM = "servers";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
    private static final String ERA = "Store-Era";
    private static final String TOPIC_PREFIX = "keyed.";
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int BUSY = 429;
    private static final int UNAVAILABLE = 503;
    private static final int HEADER_BYTES = 16;
    private static final int LENGTH_BYTES = 4;

    /** What bytes that are no UTF-8 are decoded to. */
    private static final char REPLACEMENT = '\uFFFD';

    private static final int WARN_SECONDS = 10;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpCalls calls;
    private final Address address;
    private final List<Runnable> restoreListeners = new ArrayList<>();
    private OptionalLong era = OptionalLong.empty();

    LogStoreClient(HttpCalls calls, Address address) {
        this.calls = calls;
        this.address = address;
    }

    @Override
    public CompletableFuture<Page> newest(String stream) {
        return newest(stream, "", new Listing());
    }

    /**
     * Reads the remaining pages. The pages are no consistent snapshot, so the offset to read from
     * next is the end of the stream at the time of the first page.
     */
    private CompletableFuture<Page> newest(String stream, String after, Listing listing) {
        return get("/v1/log-newest?" + partition(stream) + after, CALL_TIMEOUT)
                .thenCompose(
                        body ->
                                listing.add(json(body))
                                        ? newest(stream, "&After=" + encoded(listing.last), listing)
                                        : CompletableFuture.completedFuture(
                                                new Page(listing.entries, listing.end)));
    }

    /** Pages of the newest records of a stream. */
    private static final class Listing {
        private final List<Entry> entries = new ArrayList<>();
        private final Set<String> keys = new HashSet<>();
        private String last = "";
        private long end = Long.MAX_VALUE;

        /** Adds a page; returns true if there are more. */
        boolean add(JsonNode page) {
            int known = keys.size();
            for (JsonNode item : items(page)) {
                add(item.path("Key"), item);
            }
            end = Math.min(end, end(page));
            boolean more = page.path("HasMore").asBoolean();
            if (more && keys.size() == known) {
                throw new FailedException("page of the log lists no further key");
            }
            return more;
        }

        private void add(JsonNode key, JsonNode item) {
            if (key.isTextual() && encodable(key.asText())) {
                last = key.asText();
                keys.add(last);
            }
            try {
                entries.add(entry(item));
            } catch (IllegalArgumentException | JsonValue.MalformedException e) {
                logLeftOut("item", e.getMessage());
            }
        }

        private static JsonNode items(JsonNode page) {
            JsonNode items = page.path("Items");
            if (!items.isArray() && !items.isMissingNode() && !items.isNull()) {
                throw new FailedException("log store answered without a list of items");
            }
            return items;
        }

        private static long end(JsonNode page) {
            try {
                return JsonValue.integer(page, "End");
            } catch (JsonValue.MalformedException e) {
                throw new FailedException("log store answered without an end: " + e.getMessage());
            }
        }
    }

    private static String partition(String stream) {
        return "Topic=" + encoded(TOPIC_PREFIX + stream) + "&part=0";
    }

    /** Encodes a value of a query; a space as %20, since a plus may be taken literally. */
    private static String encoded(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static Entry entry(JsonNode item) {
        String key = JsonValue.text(item, "Key");
        if (!encodable(key)) {
            throw new JsonValue.MalformedException("Key must be text");
        }
        Optional<Bytes> value =
                item.hasNonNull("Value")
                        ? Optional.of(value(item.path("Value")))
                        : Optional.empty();
        return new Entry(key, value, JsonValue.integer(item, "Offset", 0));
    }

    private static Bytes value(JsonNode value) {
        if (!value.isTextual()) {
            throw new JsonValue.MalformedException("Value must be a string");
        }
        return Bytes.wrap(Base64.getDecoder().decode(value.asText()));
    }

    /** Returns false for text with half of a surrogate pair. */
    private static boolean encodable(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    private static void logLeftOut(String part, String reason) {
        logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                "log store sent a malformed %s, which is left out: %s", part, reason);
    }

    @Override
    public CompletableFuture<Void> append(String stream, String key, Bytes value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        Buffer record =
                Buffer.buffer()
                        .appendInt(1 + keyBytes.length + value.size())
                        .appendByte((byte) keyBytes.length)
                        .appendBytes(keyBytes)
                        .appendBytes(value.toArray());
        String uri = "/v1/log-append?" + partition(stream);
        return calls.call(HttpMethod.POST, address, uri, Map.of(), record, CALL_TIMEOUT)
                .thenAccept(this::checked);
    }

    @Override
    public CompletableFuture<Page> read(String stream, long from, Duration wait) {
        String uri =
                "/v1/log-read?%s&From=%d".formatted(partition(stream), from)
                        + (wait.isZero() ? "" : "&WaitMs=" + wait.toMillis());
        return get(uri, wait.plus(CALL_TIMEOUT)).thenApply(body -> page(body, from));
    }

    private static Page page(Buffer body, long from) {
        if (body.length() < HEADER_BYTES) {
            throw new FailedException("log page is truncated to " + body.length() + " bytes");
        }
        long first = body.getLong(Long.BYTES);
        if (first < 0 || first > body.getLong(0)) {
            throw new FailedException("log page has an impossible first offset: " + first);
        }
        List<Entry> entries = new ArrayList<>();
        long offset = Math.max(from, first);
        int position = HEADER_BYTES;
        while (position < body.length()) {
            int size = recordSize(body, position);
            position += LENGTH_BYTES;
            record(body, position, size, offset++).ifPresent(entries::add);
            position += size;
        }
        return new Page(entries, offset);
    }

    private static int recordSize(Buffer body, int position) {
        int available = body.length() - position - LENGTH_BYTES;
        if (available < 0) {
            throw new FailedException("log page ends inside the length of a record");
        }
        int size = body.getInt(position);
        if (size < 0 || size > available) {
            throw new FailedException("log record of " + size + " bytes is truncated");
        }
        return size;
    }

    /** Returns the record at a position, or nothing if it has no key that can be a name. */
    private static Optional<Entry> record(Buffer body, int start, int size, long offset) {
        int keySize = size == 0 ? 0 : body.getUnsignedByte(start);
        if (keySize == 0 || keySize >= size) {
            logLeftOut("record", "%d bytes at offset %d".formatted(size, offset));
            return Optional.empty();
        }
        int valueStart = start + 1 + keySize;
        String key = body.getString(start + 1, valueStart, StandardCharsets.UTF_8.name());
        if (key.isBlank() || key.indexOf(REPLACEMENT) >= 0) {
            logLeftOut("record", "its key is no name, offset " + offset);
            return Optional.empty();
        }
        int end = start + size;
        Optional<Bytes> value =
                valueStart < end
                        ? Optional.of(Bytes.wrap(body.getBytes(valueStart, end)))
                        : Optional.empty();
        return Optional.of(new Entry(key, value, offset));
    }

    /** Posts a JSON message and returns the JSON answer. */
    CompletableFuture<JsonNode> post(String uri, Object message) {
        Buffer body;
        try {
            body = Buffer.buffer(JSON.writeValueAsBytes(message));
        } catch (IOException e) {
            throw new IllegalStateException("message cannot be encoded as JSON", e);
        }
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        return calls.call(HttpMethod.POST, address, uri, headers, body, CALL_TIMEOUT)
                .thenApply(answer -> json(checked(answer)));
    }

    @Override
    public void whenRestored(Runnable listener) {
        restoreListeners.add(listener);
    }

    @Override
    public OptionalLong era() {
        return era;
    }

    /**
     * Notes the era of an answer. One of an earlier era was given before the return of the store,
     * and says nothing about what it holds now; one without an era counts as of the present one.
     */
    private void noteEra(HttpCalls.Answer answer) {
        OptionalLong named = era(answer.headers().get(ERA));
        if (named.isEmpty() || named.equals(era)) {
            return;
        }
        if (era.isPresent() && named.getAsLong() < era.getAsLong()) {
            throw new FailedException("log store answered from an earlier era");
        }
        boolean restored = era.isPresent();
        era = named;
        if (restored) {
            logger.atWarning().log("log store has returned from a copy, era %d", named.getAsLong());
            restoreListeners.forEach(Runnable::run);
        }
    }

    private static OptionalLong era(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            logLeftOut("era", text);
            return OptionalLong.empty();
        }
    }

    /** Gets a JSON answer. */
    CompletableFuture<JsonNode> readJson(String uri) {
        return get(uri, CALL_TIMEOUT).thenApply(LogStoreClient::json);
    }

    private CompletableFuture<Buffer> get(String uri, Duration timeout) {
        return calls.call(HttpMethod.GET, address, uri, Map.of(), Buffer.buffer(), timeout)
                .thenApply(this::checked);
    }

    private Buffer checked(HttpCalls.Answer answer) {
        noteEra(answer);
        return switch (answer.status()) {
            case OK -> answer.body();
            case GONE -> throw new TrimmedException("records are no longer kept");
            case BUSY, UNAVAILABLE ->
                    throw new RefusedException(
                            RefusedException.Reason.OVERLOADED,
                            "log store answered with status " + answer.status());
            default ->
                    throw new FailedException("log store answered with status " + answer.status());
        };
    }

    private static JsonNode json(Buffer body) {
        try {
            return JSON.readTree(body.getBytes());
        } catch (IOException e) {
            throw new FailedException("log store answered with invalid JSON: " + e.getMessage());
        }
    }
}
