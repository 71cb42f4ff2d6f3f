package hyssopturn.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One record of the ledger's stream.
 *
 * @param author process that appends it, unique for ever
 * @param sequence number of the record among those of its author, from 1; a record whose number is
 *     not above those before it in the log is void
 * @param timeMillis elapsed time of the ledger, in milliseconds
 * @param readTo offset up to which its author had read when it put the record together; the record
 *     and all copies of it come to stand at or after this offset
 * @param floor how far back a newcomer must have read, if the author says so
 * @param entries statements, applied in order
 */
record Batch(
        String author,
        long sequence,
        long timeMillis,
        long readTo,
        Optional<Floor> floor,
        List<LedgerEntry> entries) {
    Batch {
        entries = List.copyOf(entries);
    }

    /**
     * What a newcomer must know of records that the log no longer has.
     *
     * @param head no live call was written before this offset
     * @param floor lowest {@link Batch#readTo} of the valid records from head on
     * @param authors number of the last record of each author
     */
    record Floor(long head, long floor, Map<String, Long> authors) {
        Floor {
            authors = Map.copyOf(authors);
        }
    }
}
