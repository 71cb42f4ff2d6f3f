package hyssopturn.port;

import hyssopturn.model.Bytes;

import java.util.List;

/**
 * Records read from a stream.
 *
 * @param first lowest offset that the log still keeps
 * @param next offset to read from next
 * @param end offset that the next append will get
 * @param records records in order of offset
 */
public record LogPage(long first, long next, long end, List<Entry> records) {
    /** Copies the list. */
    public LogPage {
        records = List.copyOf(records);
    }

    /**
     * One record.
     *
     * @param offset offset of the record
     * @param data bytes of the record
     */
    public record Entry(long offset, Bytes data) {}
}
