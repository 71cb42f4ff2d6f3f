package hyssopturn.load;

import hyssopturn.model.Address;

/** Sends messages about load to other nodes; they may be lost. */
@FunctionalInterface
public interface LoadChannel {
    /**
     * Sends a message, in several datagrams if it is long.
     *
     * @param to address of the node
     * @param message the message
     */
    void send(Address to, LoadMessage message);
}
