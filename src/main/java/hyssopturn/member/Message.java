package hyssopturn.member;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.util.List;
import java.util.Optional;

/** A message between nodes that keeps their views consistent. */
public sealed interface Message {
    /**
     * Facts that changed since the last changes that the receiver confirmed.
     *
     * @param incarnation incarnation of the sender
     * @param session identifies the sender's sequence of positions; a new session has a new
     *     sequence
     * @param serial number that increases with each message of the sender
     * @param wantsReply true if the sender requests a reply
     * @param configVersion version of the sender's configuration
     * @param confirmedIncarnation incarnation of the receiver whose changes are confirmed
     * @param confirmedPositions position up to which changes are confirmed, for each priority
     * @param sections the facts
     */
    record Delta(
            long incarnation,
            long session,
            long serial,
            boolean wantsReply,
            long configVersion,
            long confirmedIncarnation,
            List<Long> confirmedPositions,
            List<Section> sections)
            implements Message {
        /** Copies the lists. */
        public Delta {
            confirmedPositions = List.copyOf(confirmedPositions);
            sections = List.copyOf(sections);
        }
    }

    /**
     * Consecutive changes of the sender's table.
     *
     * @param priority priority of all the changes
     * @param from position after which the changes begin
     * @param to position of the last change, equal to {@code from} for repairs
     * @param entries the facts
     */
    record Section(Fact.Priority priority, long from, long to, List<FactEntry> entries) {
        /** Copies the list. */
        public Section {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Hashes of the sender's facts; the receiver sends its own facts of buckets that differ.
     *
     * @param incarnation incarnation of the sender
     * @param wantsReply true if the sender requests the receiver's summary
     * @param buckets hash of each bucket
     */
    record Summary(long incarnation, boolean wantsReply, List<Integer> buckets) implements Message {
        /** Copies the list. */
        public Summary {
            buckets = List.copyOf(buckets);
        }
    }

    /**
     * Requests the receiver to probe an instance.
     *
     * @param nonce identifier of the probe
     * @param subject the instance, possibly the receiver itself
     * @param liveness the sender's liveness fact about it
     */
    record ProbeRequest(long nonce, InstanceId subject, Optional<FactEntry> liveness)
            implements Message {}

    /**
     * Result of a probe.
     *
     * @param nonce identifier of the probe
     * @param subject the instance
     * @param alive true if it answered
     * @param liveness the sender's liveness fact about it
     */
    record ProbeResult(long nonce, InstanceId subject, boolean alive, Optional<FactEntry> liveness)
            implements Message {}

    /**
     * Requests a part of the receiver's configuration.
     *
     * @param version the requested version
     * @param offset offset of the part, in bytes
     */
    record ConfigRequest(long version, int offset) implements Message {}

    /**
     * A part of a configuration.
     *
     * @param version its version
     * @param documentBytes size of the whole, in bytes
     * @param offset offset of the part, in bytes
     * @param data the part
     */
    record ConfigChunk(long version, int documentBytes, int offset, Bytes data)
            implements Message {}
}
