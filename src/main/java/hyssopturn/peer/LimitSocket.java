package hyssopturn.peer;

import com.google.common.flogger.FluentLogger;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.limit.LimitChannel;
import hyssopturn.limit.LimitMessage;
import hyssopturn.model.Address;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Exchanges messages about limits with other nodes as datagrams. */
public final class LimitSocket implements LimitChannel {
    private static final int WARN_SECONDS = 10;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DatagramSocket socket;

    /**
     * Creates a socket that does not listen yet.
     *
     * @param vertx event loop
     */
    public LimitSocket(Vertx vertx) {
        socket = vertx.createDatagramSocket(new DatagramSocketOptions().setIpV6(false));
    }

    /**
     * Starts to receive messages; malformed ones are dropped.
     *
     * @param address address to listen at
     * @param receiver receives the address of the sender and the message
     */
    public void listen(Address address, BiConsumer<Address, LimitMessage> receiver) {
        socket.handler(packet -> handle(packet, receiver));
        socket.listen(address.port(), address.host())
                .onFailure(e -> logger.atWarning().log("cannot listen at %s: %s", address, e));
    }

    private static void handle(DatagramPacket packet, BiConsumer<Address, LimitMessage> receiver) {
        Address sender = new Address(packet.sender().hostAddress(), packet.sender().port());
        try {
            receiver.accept(sender, LimitCodec.decode(packet.data().getBytes()));
        } catch (InvalidArgumentException e) {
            logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                    "malformed message from %s: %s", sender, e.getMessage());
        }
    }

    @Override
    public void send(Address to, LimitMessage message) {
        socket.send(Buffer.buffer(LimitCodec.encode(message)), to.port(), to.host())
                .onFailure(
                        e ->
                                logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                                        "cannot send to %s: %s", to, e));
    }
}
