package hyssopturn.port;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.util.function.BiConsumer;

/** Links to other nodes; messages may be lost, doubled or late, but not changed. */
public interface PeerLink {
    /** Links of a node that is alone. */
    PeerLink NONE =
            new PeerLink() {
                @Override
                public boolean send(InstanceId to, Topic topic, Bytes message) {
                    return false;
                }

                @Override
                public void receiver(Topic topic, BiConsumer<InstanceId, Bytes> receiver) {}
            };

    /**
     * Sends a message if it can, without waiting.
     *
     * @param to node that should get it
     * @param topic what it is about
     * @param message the message
     * @return false if it was dropped at once
     */
    boolean send(InstanceId to, Topic topic, Bytes message);

    /**
     * Sets who receives messages.
     *
     * @param topic what the messages are about
     * @param receiver gets the sender and the message
     */
    void receiver(Topic topic, BiConsumer<InstanceId, Bytes> receiver);

    /** What a message is about. */
    enum Topic {
        /** Membership and exchange. */
        MEMBER(0),
        /** Answers that another node keeps. */
        ANSWER(1);

        private final int number;

        Topic(int number) {
            this.number = number;
        }

        /**
         * Returns the form on the wire.
         *
         * @return its number
         */
        public int number() {
            return number;
        }
    }
}
