package hyssopturn.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import hyssopturn.helper.Check;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Seals accepted documents with the nodes' common secret.
 *
 * <p>Only a node seals, and only what its fold accepted; so a document with a good seal was
 * accepted, whichever way it came.
 */
public final class Seal {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    /**
     * Creates the seal of a group of nodes.
     *
     * @param secret secret that all nodes share
     */
    public Seal(String secret) {
        key = new SecretKeySpec(Check.notBlank(secret, "secret").getBytes(UTF_8), ALGORITHM);
    }

    AcceptedDocument sealed(long version, String publication, String document) {
        String proof = proof(version, publication, document);
        return new AcceptedDocument(version, publication, document, proof);
    }

    boolean good(AcceptedDocument accepted) {
        String proof = proof(accepted.version(), accepted.publication(), accepted.document());
        return MessageDigest.isEqual(proof.getBytes(UTF_8), accepted.seal().getBytes(UTF_8));
    }

    private String proof(long version, String publication, String document) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            byte[] name = publication.getBytes(UTF_8);
            mac.update(ByteBuffer.allocate(Long.BYTES).putLong(0, version));
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, name.length));
            mac.update(name);
            return HexFormat.of().formatHex(mac.doFinal(document.getBytes(UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("no " + ALGORITHM + " in this Java", e);
        }
    }
}
