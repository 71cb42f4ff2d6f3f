package hyssopturn.ledger;

import hyssopturn.helper.Check;

import java.time.Duration;

/**
 * Settings of the ledger; all nodes must run the same.
 *
 * @param keep how long a key is known after its claim, by the ledger's own time; a call in doubt is
 *     kept until its outcome is settled
 * @param retention least time that the log keeps a record
 * @param appendsPerSecond appends a second that the ledgers of all nodes may take together
 */
public record LedgerSettings(Duration keep, Duration retention, int appendsPerSecond) {
    /** Settings that suit a log which keeps records for a day. */
    public static final LedgerSettings DEFAULT =
            new LedgerSettings(Duration.ofDays(3), Duration.ofDays(1), 300);

    /** Checks the values. */
    public LedgerSettings {
        Check.that(keep.isPositive(), "keep time must be positive");
        Check.that(retention.isPositive(), "retention must be positive");
        Check.that(appendsPerSecond > 0, "appends a second must be positive");
    }
}
