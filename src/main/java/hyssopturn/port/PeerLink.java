package hyssopturn.port;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.util.function.BiConsumer;

/** Links to other nodes; messages may be lost, duplicated or delayed, but not corrupted. */
public interface PeerLink {
    /** Links of a node without peers: drops all messages. */
    PeerLink NONE =
            new PeerLink() {
                @Override
                public boolean send(InstanceId to, Topic topic, Bytes message) {
                    return false;
                }

                @Override
                public void setReceiver(Topic topic, BiConsumer<InstanceId, Bytes> receiver) {}
            };

    /**
     * Sends a message without blocking and without a guarantee of delivery.
     *
     * @param to receiving node
     * @param topic topic of the message
     * @param message the message
     * @return false if it was dropped at once
     */
    boolean send(InstanceId to, Topic topic, Bytes message);

    /**
     * Sets the receiver of a topic's messages.
     *
     * @param topic topic of the messages
     * @param receiver is called with the sender and the message
     */
    void setReceiver(Topic topic, BiConsumer<InstanceId, Bytes> receiver);

    /** Topic of a message. */
    enum Topic {
        /** Membership and exchange of facts. */
        MEMBER(0),
        /** Answers that another node keeps. */
        ANSWER(1);

        private final int number;

        Topic(int number) {
            this.number = number;
        }

        /**
         * Returns the number that identifies the topic on the wire.
         *
         * @return number of the topic
         */
        public int number() {
            return number;
        }
    }
}
