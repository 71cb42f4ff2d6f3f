package hyssopturn.config;

import hyssopturn.model.Config;

import java.util.Optional;

/**
 * What a reader of the stream knows after some record.
 *
 * @param through offset of the last record seen
 * @param start first offset since which no record was missed
 * @param settled true if the version in force at {@code through} is certain
 * @param lastPublication offset of the last publication seen since {@code start}, 0 if none
 * @param carrier offset of the last record that holds the document in force, 0 if none
 * @param accepted latest document known to be accepted
 * @param config that document, read
 */
public record FoldState(
        long through,
        long start,
        boolean settled,
        long lastPublication,
        long carrier,
        Optional<AcceptedDocument> accepted,
        Config config) {
    /** State before the first record of a stream that has lost none. */
    public static final FoldState INITIAL =
            new FoldState(0, 1, true, 0, 0, Optional.empty(), Config.EMPTY);

    /**
     * Returns the latest version known to be accepted.
     *
     * @return the version, 0 if none is known
     */
    public long version() {
        return config.version();
    }

    FoldState read(long offset) {
        return new FoldState(offset, start, settled, lastPublication, carrier, accepted, config);
    }

    FoldState published(long offset) {
        return new FoldState(offset, start, settled, offset, carrier, accepted, config);
    }

    FoldState carried(long offset) {
        return new FoldState(offset, start, settled, lastPublication, offset, accepted, config);
    }

    FoldState holding(AcceptedDocument document, Config read, boolean certain) {
        return new FoldState(
                through, start, certain, lastPublication, through, Optional.of(document), read);
    }

    FoldState missed(long first) {
        return new FoldState(first - 1, first, false, 0, carrier, accepted, config);
    }
}
