package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * Names the account of a caller.
 *
 * @param value the name, never blank
 */
public record AccountId(String value) implements Comparable<AccountId> {
    /** Checks the name. */
    public AccountId {
        Check.notBlank(value, "account");
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
