package hyssopturn.ledger;

/** What the ledger's core wants done. */
sealed interface LedgerAction {
    /** Append a record; the answer is told with the same attempt. */
    record Append(Batch batch, long attempt) implements LedgerAction {}

    /** Tell an asker its ruling. */
    record Rule(long ask, Ruling ruling) implements LedgerAction {}

    /** Tell that the end of a granted call is in the log. */
    record Stored(ClaimId claim) implements LedgerAction {}
}
