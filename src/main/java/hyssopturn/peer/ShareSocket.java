package hyssopturn.peer;

import com.google.common.flogger.FluentLogger;

import hyssopturn.model.Address;
import hyssopturn.share.ShareChannel;
import hyssopturn.share.ShareMessage;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Exchanges messages about what the store holds with other nodes as datagrams.
 *
 * <p>Nodes are known by the address at which they exchange messages about limits; this socket uses
 * the port after that one.
 */
public final class ShareSocket implements ShareChannel {
    private static final int WARN_SECONDS = 10;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DatagramSocket socket;
    private final Address self;
    private BiConsumer<Address, ShareMessage> receiver = (sender, message) -> {};

    /**
     * Creates a socket that does not listen yet.
     *
     * @param vertx event loop
     * @param self address at which other nodes know this one
     */
    public ShareSocket(Vertx vertx, Address self) {
        socket = vertx.createDatagramSocket(new DatagramSocketOptions().setIpV6(false));
        this.self = self;
    }

    /**
     * Sets the receiver of messages; malformed ones are dropped.
     *
     * @param messages receives the address at which the sender is known, and the message
     */
    public void receiver(BiConsumer<Address, ShareMessage> messages) {
        receiver = messages;
    }

    @Override
    public void open() {
        socket.handler(this::handle);
        socket.listen(self.port() + 1, self.host())
                .onFailure(
                        e ->
                                logger.atWarning().log(
                                        "cannot listen at the port after that of %s: %s", self, e));
    }

    /** No content of a message may stop the event loop, so every error is caught. */
    private void handle(DatagramPacket packet) {
        try {
            Address sender = new Address(packet.sender().hostAddress(), packet.sender().port() - 1);
            receiver.accept(sender, ShareCodec.decode(packet.data().getBytes()));
        } catch (RuntimeException e) {
            logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                    "message from %s left out: %s", packet.sender(), e);
        }
    }

    @Override
    public void send(Address to, ShareMessage message) {
        byte[] bytes = ShareCodec.encode(message);
        if (bytes.length > ShareCodec.MAX_BYTES) {
            logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                    "message of %d bytes to %s is too long", bytes.length, to);
            return;
        }
        socket.send(Buffer.buffer(bytes), to.port() + 1, to.host())
                .onFailure(
                        e ->
                                logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                                        "cannot send to %s: %s", to, e));
    }
}
