package hyssopturn.limit;

import hyssopturn.model.Address;

/** Sends messages about limits to other nodes; they may be lost. */
@FunctionalInterface
public interface LimitChannel {
    /**
     * Sends a message.
     *
     * @param to address of the node
     * @param message the message
     */
    void send(Address to, LimitMessage message);
}
