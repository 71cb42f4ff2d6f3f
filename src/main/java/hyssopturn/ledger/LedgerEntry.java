package hyssopturn.ledger;

import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;

/** One statement on one call; a record of the log carries many. */
sealed interface LedgerEntry {
    Fingerprint call();

    /** The author of the record wants to own the call. */
    record Claimed(CallKey key, Fingerprint call, Fingerprint body, long number, long wallMillis)
            implements LedgerEntry {
        static Claimed of(CallKey key, Fingerprint body, long number, long wallMillis) {
            return new Claimed(key, Fingerprint.of(key), body, number, wallMillis);
        }
    }

    /** The call of a claim has run. */
    record Settled(
            Fingerprint call,
            Fingerprint body,
            ClaimId claim,
            long claimedMillis,
            Outcome outcome,
            Bytes answer)
            implements LedgerEntry {}

    /** The call of a claim was never sent and never will be. */
    record Released(Fingerprint call, ClaimId claim) implements LedgerEntry {}

    /** What is known of a call, written anew. */
    record Carried(
            Fingerprint call,
            Fingerprint body,
            ClaimId claim,
            long claimedMillis,
            Progress progress)
            implements LedgerEntry {}
}
