package hyssopturn.peer;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Proofs by which both ends of a link show that they know the shared secret. */
final class Handshake {
    static final int NONCE_BYTES = 16;
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    /** Which end makes a proof; a proof of one end is worth nothing as one of the other. */
    enum Side {
        /** Who opened the connection. */
        CALLER((byte) 0),
        /** Who accepted it. */
        LISTENER((byte) 1);

        private final byte label;

        Side(byte label) {
            this.label = label;
        }
    }

    Handshake(String secret) {
        key = new SecretKeySpec(secret.getBytes(UTF_8), ALGORITHM);
    }

    /** Makes the proof of one end over both nonces and names. */
    byte[] proof(Side side, byte[] callerNonce, byte[] listenerNonce, String from, String to) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(side.label);
            part(mac, callerNonce);
            part(mac, listenerNonce);
            part(mac, from.getBytes(UTF_8));
            part(mac, to.getBytes(UTF_8));
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java has no " + ALGORITHM, e);
        }
    }

    private static void part(Mac mac, byte[] data) {
        mac.update((byte) (data.length >>> Byte.SIZE));
        mac.update((byte) data.length);
        mac.update(data);
    }

    /** Compares two proofs in a time that does not depend on where they differ. */
    static boolean matches(byte[] expected, byte[] given) {
        return MessageDigest.isEqual(expected, Arrays.copyOf(given, given.length));
    }
}
