package hyssopturn.share;

import hyssopturn.model.Address;

/** Sends messages about the store to other nodes; messages may be lost, repeated and delayed. */
public interface ShareChannel {
    /** Starts to receive messages, once the group is large enough to need them. */
    void open();

    /**
     * Sends a message.
     *
     * @param to address at which nodes reach the receiver
     * @param message the message
     */
    void send(Address to, ShareMessage message);
}
