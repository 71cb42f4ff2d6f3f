package hyssopturn.ledger;

import static java.nio.charset.StandardCharsets.UTF_8;

import hyssopturn.model.Bytes;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * First 128 bits of a SHA-256 hash, standing for a call or a body.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
record Fingerprint(long high, long low) {
    static Fingerprint of(CallKey key) {
        MessageDigest hash = sha256();
        update(hash, key.account().value());
        update(hash, key.workClass().value());
        update(hash, key.key());
        return first(hash);
    }

    static Fingerprint of(Bytes body) {
        MessageDigest hash = sha256();
        hash.update(body.toArray());
        return first(hash);
    }

    private static void update(MessageDigest hash, String part) {
        byte[] bytes = part.getBytes(UTF_8);
        // the length keeps ("a", "bc") apart from ("ab", "c")
        hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        hash.update(bytes);
    }

    private static Fingerprint first(MessageDigest hash) {
        ByteBuffer bytes = ByteBuffer.wrap(hash.digest());
        return new Fingerprint(bytes.getLong(), bytes.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new LinkageError("every Java platform has SHA-256", e);
        }
    }
}
