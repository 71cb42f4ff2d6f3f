package hyssopturn.member;

import hyssopturn.model.Bytes;

import java.util.Optional;

/** The configuration of this node that it exchanges with other nodes. */
public interface ConfigSource {
    /**
     * Returns the version of the configuration in force.
     *
     * @return the version, 0 before the first
     */
    long version();

    /**
     * Returns the document in force in the form that {@link #offer} accepts.
     *
     * @return the document, empty before the first
     */
    Optional<Bytes> document();

    /**
     * Accepts a document that is in force at another node.
     *
     * @param document the document, not yet validated
     */
    void offer(Bytes document);
}
