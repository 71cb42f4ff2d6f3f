package hyssopturn.ledger;

import hyssopturn.helper.Check;
import hyssopturn.model.AccountId;
import hyssopturn.model.ClassName;

/**
 * Names one call that must run at most once.
 *
 * @param account account of the caller
 * @param workClass class of the work
 * @param key idempotency key that the caller gave
 */
public record CallKey(AccountId account, ClassName workClass, String key) {
    /** Checks the key. */
    public CallKey {
        Check.notBlank(key, "idempotency key");
    }
}
