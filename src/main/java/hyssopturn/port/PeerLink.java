package hyssopturn.port;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.util.function.BiConsumer;

/** Links to other nodes; messages may be lost, doubled or late, but not changed. */
public interface PeerLink {
    /**
     * Sends a message if it can, without waiting.
     *
     * @param to node that should get it
     * @param message the message
     * @return false if it was dropped at once
     */
    boolean send(InstanceId to, Bytes message);

    /**
     * Sets who receives messages.
     *
     * @param receiver gets the sender and the message
     */
    void receiver(BiConsumer<InstanceId, Bytes> receiver);
}
