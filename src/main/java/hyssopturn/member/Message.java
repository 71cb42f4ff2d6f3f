package hyssopturn.member;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.util.List;
import java.util.Optional;

/** What nodes send each other to keep their views alike. */
public sealed interface Message {
    /**
     * Facts that changed since the receiver confirmed the last ones.
     *
     * @param incarnation incarnation of the sender
     * @param session positions of the sender start anew when it changes
     * @param serial grows with each message of the sender
     * @param reply true if the sender wants an answer
     * @param config version of the sender's configuration
     * @param confirmed incarnation of the receiver whose changes are confirmed
     * @param positions up to where changes of each priority are confirmed
     * @param sections the facts
     */
    record Delta(
            long incarnation,
            long session,
            long serial,
            boolean reply,
            long config,
            long confirmed,
            List<Long> positions,
            List<Section> sections)
            implements Message {
        /** Copies the lists. */
        public Delta {
            positions = List.copyOf(positions);
            sections = List.copyOf(sections);
        }
    }

    /**
     * Consecutive changes of the sender's table.
     *
     * @param priority priority of all of them
     * @param from position after which they begin
     * @param to position up to which they reach, equal to {@code from} for repairs
     * @param entries the facts
     */
    record Section(Fact.Priority priority, long from, long to, List<Entry> entries) {
        /** Copies the list. */
        public Section {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Hashes of the sender's facts; the receiver sends those of buckets that differ.
     *
     * @param incarnation incarnation of the sender
     * @param reply true if the sender wants the receiver's summary
     * @param buckets hash of each bucket
     */
    record Summary(long incarnation, boolean reply, List<Integer> buckets) implements Message {
        /** Copies the list. */
        public Summary {
            buckets = List.copyOf(buckets);
        }
    }

    /**
     * Asks the receiver whether it reaches an instance.
     *
     * @param nonce name of the question
     * @param subject the instance, possibly the receiver itself
     * @param held what the sender holds of its health
     */
    record ProbeRequest(long nonce, InstanceId subject, Optional<Entry> held) implements Message {}

    /**
     * Answers a probe.
     *
     * @param nonce name of the question
     * @param subject the instance
     * @param alive true if it answered
     * @param held what the sender holds of its health
     */
    record ProbeResult(long nonce, InstanceId subject, boolean alive, Optional<Entry> held)
            implements Message {}

    /**
     * Asks for a part of the sender's configuration.
     *
     * @param version version wanted
     * @param offset offset of the part, in bytes
     */
    record ConfigRequest(long version, int offset) implements Message {}

    /**
     * A part of a configuration.
     *
     * @param version its version
     * @param size size of the whole, in bytes
     * @param offset offset of the part, in bytes
     * @param data the part
     */
    record ConfigChunk(long version, int size, int offset, Bytes data) implements Message {}
}
