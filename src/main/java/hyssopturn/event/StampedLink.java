package hyssopturn.event;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.port.PeerLink;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

/** Links whose messages carry the sender's stamp, so that effects never stand before causes. */
public final class StampedLink implements PeerLink {
    private static final int STAMP_BYTES = Long.BYTES + Integer.BYTES;

    private final PeerLink link;
    private final HybridClock clock;

    /**
     * Creates links over others.
     *
     * @param link carries the messages
     * @param clock gives stamps and takes in those of others
     */
    public StampedLink(PeerLink link, HybridClock clock) {
        this.link = link;
        this.clock = clock;
    }

    @Override
    public boolean send(InstanceId to, Topic topic, Bytes message) {
        Stamp stamp = clock.next();
        ByteBuffer stamped =
                ByteBuffer.allocate(STAMP_BYTES + message.size())
                        .putLong(stamp.millis())
                        .putInt(stamp.counter())
                        .put(message.toArray());
        return link.send(to, topic, Bytes.wrap(stamped.array()));
    }

    @Override
    public void setReceiver(Topic topic, BiConsumer<InstanceId, Bytes> receiver) {
        link.setReceiver(topic, (from, stamped) -> receive(from, stamped, receiver));
    }

    private void receive(InstanceId from, Bytes stamped, BiConsumer<InstanceId, Bytes> receiver) {
        if (stamped.size() < STAMP_BYTES) {
            return;
        }
        ByteBuffer buffer = ByteBuffer.wrap(stamped.toArray());
        clock.observe(new Stamp(buffer.getLong(), buffer.getInt()));
        byte[] message = new byte[buffer.remaining()];
        buffer.get(message);
        receiver.accept(from, Bytes.wrap(message));
    }
}
