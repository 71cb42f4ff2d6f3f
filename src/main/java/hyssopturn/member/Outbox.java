package hyssopturn.member;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.List;

/** Collects messages to send, within the rate. */
final class Outbox {
    /** Headers of the frame and of the layers below, in bytes a message. */
    static final int OVERHEAD_BYTES = 66;

    private final MessageCodec codec;
    private final TokenBucket bucket;
    private List<Letter> letters = new ArrayList<>();
    private long refused;

    /** A message on its way. */
    record Letter(InstanceId to, Bytes message) {}

    Outbox(MessageCodec codec, TokenBucket bucket) {
        this.codec = codec;
        this.bucket = bucket;
    }

    MessageCodec codec() {
        return codec;
    }

    /** Bytes of content that fit now when a share of the burst is kept. */
    int room(long now, double keptShare) {
        return bucket.available(now, keptShare) - OVERHEAD_BYTES;
    }

    /** Sends unless the rate is used up. */
    boolean send(InstanceId to, Message message, long now) {
        Bytes encoded = codec.encode(message);
        if (!bucket.take(encoded.size() + OVERHEAD_BYTES, now)) {
            refused++;
            return false;
        }
        letters.add(new Letter(to, encoded));
        return true;
    }

    /** Hands out what is to be sent. */
    List<Letter> drain() {
        List<Letter> result = letters;
        letters = new ArrayList<>();
        return result;
    }

    long refused() {
        return refused;
    }
}
