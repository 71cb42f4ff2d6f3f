package hyssopturn.member;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.List;

/** Collects messages to send and enforces the rate limit. */
final class Outbox {
    /** Size of the headers of the frame and of the layers below, in bytes per message. */
    static final int OVERHEAD_BYTES = 66;

    private final MessageCodec codec;
    private final TokenBucket bucket;
    private List<OutgoingMessage> queue = new ArrayList<>();
    private long refusedCount;

    /** An encoded message that waits to be sent. */
    record OutgoingMessage(InstanceId to, Bytes message) {}

    Outbox(MessageCodec codec, TokenBucket bucket) {
        this.codec = codec;
        this.bucket = bucket;
    }

    MessageCodec codec() {
        return codec;
    }

    /**
     * Returns the content size that may be sent now if a share of the burst stays unused, in bytes.
     */
    int room(long now, double keptShare) {
        return bucket.available(now, keptShare) - OVERHEAD_BYTES;
    }

    /** Queues a message; returns false if the rate limit does not allow it. */
    boolean send(InstanceId to, Message message, long now) {
        Bytes encoded = codec.encode(message);
        if (!bucket.tryConsume(encoded.size() + OVERHEAD_BYTES, now)) {
            refusedCount++;
            return false;
        }
        queue.add(new OutgoingMessage(to, encoded));
        return true;
    }

    /** Returns and clears the queued messages. */
    List<OutgoingMessage> drain() {
        List<OutgoingMessage> result = queue;
        queue = new ArrayList<>();
        return result;
    }

    long refusedCount() {
        return refusedCount;
    }
}
