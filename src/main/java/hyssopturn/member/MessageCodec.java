package hyssopturn.member;

import hyssopturn.model.Bytes;

import java.util.Optional;

/** Encodes and decodes messages and facts. */
public interface MessageCodec {
    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its wire form
     */
    Bytes encode(Message message);

    /**
     * Decodes a message; facts of unknown kinds are left out.
     *
     * @param bytes the received bytes
     * @return the message, empty if it is malformed
     */
    Optional<Message> decode(Bytes bytes);

    /**
     * Encodes a fact.
     *
     * @param fact the fact
     * @return the fact with its wire form
     */
    FactEntry toEntry(Fact fact);
}
