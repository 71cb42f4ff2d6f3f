package hyssopturn.share;

import hyssopturn.share.ShareMessage.Holding;
import hyssopturn.share.ShareMessage.Reply;
import hyssopturn.share.ShareMessage.StreamRecord;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Splits a reply into parts that each fit into a datagram, and joins them. */
final class ReplyParts {
    /** Size of a part's records and holders, in bytes; the rest of a datagram is for its head. */
    static final int PART_BYTES = 1_100;

    /** Size of the records in a reply, in bytes; a part may be partly empty. */
    static final int MAX_RECORD_BYTES = 9_000;

    /** Size of the holders in a reply, in bytes. */
    static final int MAX_HOLDER_BYTES = 5_000;

    private static final int RECORD_OVERHEAD = 24;
    private static final int HOLDING_OVERHEAD = 12;
    private static final int PARTITION_BYTES = 3;

    private ReplyParts() {}

    static int size(StreamRecord entry) {
        return RECORD_OVERHEAD + StreamRing.size(entry.entry());
    }

    static int size(Holding row) {
        return HOLDING_OVERHEAD
                + row.node().toString().length()
                + PARTITION_BYTES * row.partitions().size();
    }

    /** Content of a part that is not complete. */
    private static final class Part {
        private final List<StreamRecord> records = new ArrayList<>();
        private final List<Holding> holders = new ArrayList<>();
        private int bytes;

        boolean fits(int size) {
            return bytes + size <= PART_BYTES;
        }
    }

    /** Returns the parts of a whole reply. */
    static List<Reply> split(Reply whole) {
        List<Part> parts = new ArrayList<>(List.of(new Part()));
        whole.records().forEach(r -> next(parts, size(r)).records.add(r));
        whole.holders().forEach(h -> next(parts, size(h)).holders.add(h));
        List<Reply> replies = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            replies.add(part(whole, parts.get(i), i, parts.size()));
        }
        return replies;
    }

    private static Part next(List<Part> parts, int size) {
        if (!parts.getLast().fits(size)) {
            parts.add(new Part());
        }
        Part last = parts.getLast();
        last.bytes += size;
        return last;
    }

    private static Reply part(Reply whole, Part part, int index, int count) {
        boolean first = index == 0;
        return new Reply(
                whole.id(),
                whole.sequence(),
                index,
                count,
                whole.era(),
                first ? whole.states() : List.of(),
                part.records,
                first ? whole.holdersKnown() : Optional.empty(),
                part.holders);
    }

    /** Collects the parts of one reply; parts of an earlier one are forgotten. */
    static final class Assembly {
        private long id;
        private long sequence;
        private Reply[] parts = {};

        /** Adds a part; returns the whole reply if it completes it. */
        Optional<Reply> add(Reply part) {
            if (part.parts() == 1) {
                return Optional.of(part);
            }
            boolean same =
                    part.id() == id && part.sequence() == sequence && part.parts() == parts.length;
            if (!same) {
                id = part.id();
                sequence = part.sequence();
                parts = new Reply[part.parts()];
            }
            if (parts[part.part()] != null) {
                return Optional.empty();
            }
            parts[part.part()] = part;
            for (Reply received : parts) {
                if (received == null) {
                    return Optional.empty();
                }
            }
            return Optional.of(joined());
        }

        private Reply joined() {
            List<StreamRecord> records = new ArrayList<>();
            List<Holding> holders = new ArrayList<>();
            for (Reply part : parts) {
                records.addAll(part.records());
                holders.addAll(part.holders());
            }
            Reply first = parts[0];
            return new Reply(
                    first.id(),
                    first.sequence(),
                    0,
                    1,
                    first.era(),
                    first.states(),
                    records,
                    first.holdersKnown(),
                    holders);
        }
    }
}
