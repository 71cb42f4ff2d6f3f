package hyssopturn.member;

import hyssopturn.member.Message.ConfigChunk;
import hyssopturn.member.Message.ConfigRequest;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Fetches a newer configuration from another node when this node has not received it from the log.
 *
 * <p>The fetching node requests one part after the other, so that the other node keeps no state and
 * a lost message costs one part.
 */
final class ConfigFetch {
    static final int CHUNK_BYTES = 1_000;
    static final int MAX_DOCUMENT_BYTES = 1 << 20;
    private static final Duration START_DELAY = Duration.ofSeconds(1);
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);

    private final ConfigSource source;
    private final Outbox outbox;
    private final Map<InstanceId, Long> versions = new HashMap<>();
    private long behindSinceNanos;
    private long requestedNanos;
    private long requestedVersion;
    private byte[] buffer = new byte[0];
    private int filled;

    ConfigFetch(ConfigSource source, Outbox outbox) {
        this.source = source;
        this.outbox = outbox;
    }

    /** Records the version in force at another node. */
    void recordVersion(InstanceId from, long version) {
        versions.put(from, version);
    }

    /** Requests the next part if a partner has a newer version and no request is pending. */
    void tick(List<InstanceId> partners, long now) {
        versions.keySet().retainAll(partners);
        Optional<InstanceId> newest = newest();
        if (newest.isEmpty()) {
            behindSinceNanos = now;
            buffer = new byte[0];
            filled = 0;
            return;
        }
        boolean pending = now - requestedNanos < REPLY_TIMEOUT.toNanos();
        if (now - behindSinceNanos >= START_DELAY.toNanos() && !pending) {
            requestPart(newest.get(), now);
        }
    }

    /** Returns the partner with the newest version, empty if none is newer than this node's. */
    private Optional<InstanceId> newest() {
        return versions.entrySet().stream()
                .filter(e -> e.getValue() > source.version())
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    private void requestPart(InstanceId from, long now) {
        long version = versions.getOrDefault(from, requestedVersion);
        if (version != requestedVersion) {
            requestedVersion = version;
            buffer = new byte[0];
            filled = 0;
        }
        if (outbox.send(from, new ConfigRequest(version, filled), now)) {
            requestedNanos = now;
        }
    }

    /** Answers a request if it is for the version in force. */
    void receive(InstanceId from, ConfigRequest request, long now) {
        Optional<Bytes> document = source.document();
        if (document.isEmpty() || request.version() != source.version()) {
            return;
        }
        byte[] all = document.get().toArray();
        if (request.offset() < 0 || request.offset() >= all.length) {
            return;
        }
        int end = Math.min(all.length, request.offset() + CHUNK_BYTES);
        Bytes part = Bytes.wrap(Arrays.copyOfRange(all, request.offset(), end));
        outbox.send(
                from, new ConfigChunk(request.version(), all.length, request.offset(), part), now);
    }

    /** Stores a part; returns the whole document once it is complete. */
    Optional<Bytes> receive(InstanceId from, ConfigChunk chunk, long now) {
        if (chunk.version() != requestedVersion
                || chunk.version() <= source.version()
                || !isNextPart(chunk)) {
            return Optional.empty();
        }
        if (filled == 0) {
            buffer = new byte[chunk.documentBytes()];
        }
        byte[] data = chunk.data().toArray();
        System.arraycopy(data, 0, buffer, filled, data.length);
        filled += data.length;
        if (filled < buffer.length) {
            requestPart(from, now);
            return Optional.empty();
        }
        Bytes whole = Bytes.wrap(buffer);
        buffer = new byte[0];
        filled = 0;
        return Optional.of(whole);
    }

    private boolean isNextPart(ConfigChunk chunk) {
        int size = chunk.data().size();
        return chunk.documentBytes() <= MAX_DOCUMENT_BYTES
                && size > 0
                && chunk.offset() == filled
                && (filled == 0 || chunk.documentBytes() == buffer.length)
                && (long) filled + size <= chunk.documentBytes();
    }
}
