package hyssopturn.member;

import hyssopturn.model.Bytes;

import java.util.Optional;

/** The configuration of this node, as other nodes see it. */
public interface ConfigSource {
    /**
     * Returns the version in force.
     *
     * @return its version, 0 before the first
     */
    long version();

    /**
     * Returns the document in force in the form that {@link #offer} takes.
     *
     * @return the document, empty before the first
     */
    Optional<Bytes> document();

    /**
     * Takes a document that another node has in force.
     *
     * @param document the document, not checked
     */
    void offer(Bytes document);
}
