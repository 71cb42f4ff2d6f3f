package hyssopturn.ledger;

import java.util.List;

/**
 * One record of the ledger's stream.
 *
 * @param author process that appends it, unique for ever
 * @param sequence number of the record among those of its author, from 1; a record whose number is
 *     not above those before it in the log is void
 * @param timeMillis elapsed time of the ledger, in milliseconds
 * @param floor lowest offset that holds the newest record of a live call, 0 if its author does not
 *     know the whole ledger
 * @param entries statements, applied in order
 */
record Batch(String author, long sequence, long timeMillis, long floor, List<LedgerEntry> entries) {
    Batch {
        entries = List.copyOf(entries);
    }
}
