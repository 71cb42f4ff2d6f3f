package hyssopturn.share;

import hyssopturn.helper.Check;
import hyssopturn.model.Address;
import hyssopturn.port.KeyedLog;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Message between two nodes about what the store holds. */
public sealed interface ShareMessage {
    /** Era of a store that has told none. */
    long NO_ERA = -1;

    /** Greatest number of parts of a reply. */
    int MAX_PARTS = 32;

    /**
     * Number by which the asking node recognizes the reply.
     *
     * @return the number
     */
    long id();

    /**
     * Question of what has changed.
     *
     * @param id number by which the asking node recognizes the reply
     * @param era era of the store that the asking node knows, or {@link #NO_ERA}
     * @param positions offsets up to which it knows the streams
     * @param holders fingerprint of the holders of partitions that it knows
     * @param holdersNeeded true if it needs recent holders
     * @param watched keys of endpoints of which it also wants announcements that only repeat what
     *     is known
     */
    record Question(
            long id,
            long era,
            List<Position> positions,
            long holders,
            boolean holdersNeeded,
            List<String> watched)
            implements ShareMessage {
        /** Copies the lists. */
        public Question {
            positions = List.copyOf(positions);
            watched = List.copyOf(watched);
        }
    }

    /**
     * Part of a reply to a question.
     *
     * @param id number of the question
     * @param sequence number of the reply; a hub may answer a question several times
     * @param part number of this part, from 0
     * @param parts number of parts of the reply, at most {@link #MAX_PARTS}
     * @param era era of the store that the hub knows, or {@link #NO_ERA}
     * @param states what the hub knows of each stream, in the first part
     * @param records records that the asking node does not know
     * @param holdersKnown which holders of partitions the hub knows, in the first part
     * @param holders the holders if they differ from those that the asking node knows
     */
    record Reply(
            long id,
            long sequence,
            int part,
            int parts,
            long era,
            List<StreamState> states,
            List<StreamRecord> records,
            Optional<HoldersKnown> holdersKnown,
            List<Holding> holders)
            implements ShareMessage {
        /** Checks the numbers and copies the lists. */
        public Reply {
            Check.inRange(parts, 1, MAX_PARTS, "parts");
            Check.inRange(part, 0, parts - 1, "part");
            states = List.copyOf(states);
            records = List.copyOf(records);
            holders = List.copyOf(holders);
        }
    }

    /**
     * Offset up to which a node knows a stream.
     *
     * @param stream the stream
     * @param next offset of the first record that it does not know
     */
    record Position(SharedStream stream, long next) {}

    /** How a hub answers about a stream. */
    enum Status {
        /** The reply holds all records from the offset in the question to the one in the reply. */
        COMPLETE,

        /** The hub does not keep or does not send all of the records. */
        NOT_KEPT,

        /** The hub cannot read the stream, or has not read it yet. */
        UNREADABLE
    }

    /**
     * What a hub knows of a stream.
     *
     * @param stream the stream
     * @param status how the hub answers
     * @param from offset in the question
     * @param next offset up to which the hub knows the stream
     * @param age time since the hub read it
     */
    record StreamState(SharedStream stream, Status status, long from, long next, Duration age) {}

    /**
     * Record of a stream.
     *
     * @param stream the stream
     * @param entry the record
     */
    record StreamRecord(SharedStream stream, KeyedLog.Entry entry) {}

    /**
     * Which holders of partitions a hub knows.
     *
     * @param fingerprint fingerprint of the holders
     * @param age time since the hub read them
     */
    record HoldersKnown(long fingerprint, Duration age) {}

    /**
     * Partitions that a node holds, or some of them.
     *
     * @param node address at which nodes reach it
     * @param partitions numbers of the partitions
     */
    record Holding(Address node, List<Integer> partitions) {
        /** Copies the list. */
        public Holding {
            partitions = List.copyOf(partitions);
        }
    }
}
