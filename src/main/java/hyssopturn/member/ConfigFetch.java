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
 * Fetches a configuration that other nodes have and the log has not brought.
 *
 * <p>The receiver asks for one part after the other, so that the sender keeps no state and a lost
 * message costs one part.
 */
final class ConfigFetch {
    static final int CHUNK_BYTES = 1_000;
    static final int MAX_DOCUMENT_BYTES = 1 << 20;
    private static final Duration GRACE = Duration.ofSeconds(1);
    private static final Duration ANSWER_WAIT = Duration.ofSeconds(1);

    private final ConfigSource source;
    private final Outbox outbox;
    private final Map<InstanceId, Long> versions = new HashMap<>();
    private long behindSince;
    private long askedNanos;
    private long wanted;
    private byte[] parts = new byte[0];
    private int filled;

    ConfigFetch(ConfigSource source, Outbox outbox) {
        this.source = source;
        this.outbox = outbox;
    }

    /** Notes what another node has. */
    void told(InstanceId from, long version) {
        versions.put(from, version);
    }

    /** Asks for the next part if this node is behind. */
    void tick(List<InstanceId> partners, long now) {
        versions.keySet().retainAll(partners);
        Optional<InstanceId> best = best();
        if (best.isEmpty()) {
            behindSince = now;
            parts = new byte[0];
            filled = 0;
            return;
        }
        boolean waits = now - askedNanos < ANSWER_WAIT.toNanos();
        if (now - behindSince >= GRACE.toNanos() && !waits) {
            ask(best.get(), now);
        }
    }

    private Optional<InstanceId> best() {
        return versions.entrySet().stream()
                .filter(e -> e.getValue() > source.version())
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    private void ask(InstanceId from, long now) {
        long version = versions.getOrDefault(from, wanted);
        if (version != wanted) {
            wanted = version;
            parts = new byte[0];
            filled = 0;
        }
        if (outbox.send(from, new ConfigRequest(version, filled), now)) {
            askedNanos = now;
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

    /** Takes a part; returns the whole document once it is complete. */
    Optional<Bytes> receive(InstanceId from, ConfigChunk chunk, long now) {
        if (chunk.version() != wanted || chunk.version() <= source.version() || !fits(chunk)) {
            return Optional.empty();
        }
        if (filled == 0) {
            parts = new byte[chunk.size()];
        }
        byte[] data = chunk.data().toArray();
        System.arraycopy(data, 0, parts, filled, data.length);
        filled += data.length;
        if (filled < parts.length) {
            ask(from, now);
            return Optional.empty();
        }
        Bytes whole = Bytes.wrap(parts);
        parts = new byte[0];
        filled = 0;
        return Optional.of(whole);
    }

    private boolean fits(ConfigChunk chunk) {
        int size = chunk.data().size();
        return chunk.size() <= MAX_DOCUMENT_BYTES
                && size > 0
                && chunk.offset() == filled
                && (filled == 0 || chunk.size() == parts.length)
                && (long) filled + size <= chunk.size();
    }
}
