package hyssopturn.filter;

import static java.nio.charset.StandardCharsets.UTF_8;

import hyssopturn.helper.Check;
import hyssopturn.model.AccountId;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Issues and checks bearer tokens, which hold the account's name and an HMAC over it. */
public final class Credentials {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    /**
     * Creates the credentials for a secret.
     *
     * @param secret secret shared by the operators' tools and all nodes
     */
    public Credentials(String secret) {
        key = new SecretKeySpec(Check.notBlank(secret, "secret").getBytes(UTF_8), ALGORITHM);
    }

    /**
     * Makes the token of an account.
     *
     * @param account the account
     * @return its bearer token
     */
    public String token(AccountId account) {
        return account + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(mac(account));
    }

    /**
     * Finds the account of a token.
     *
     * @param token the bearer token
     * @return the account, empty if the token is not valid
     */
    public Optional<AccountId> account(String token) {
        int dot = token.lastIndexOf('.');
        if (dot <= 0) {
            return Optional.empty();
        }
        AccountId account = new AccountId(token.substring(0, dot));
        byte[] givenMac;
        try {
            givenMac = Base64.getUrlDecoder().decode(token.substring(dot + 1));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
        return MessageDigest.isEqual(givenMac, mac(account))
                ? Optional.of(account)
                : Optional.empty();
    }

    private byte[] mac(AccountId account) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac.doFinal(account.value().getBytes(UTF_8));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is not available", e);
        }
    }
}
