package hyssopturn.peer;

import com.google.common.flogger.FluentLogger;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.load.LoadChannel;
import hyssopturn.load.LoadMessage;
import hyssopturn.model.Address;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Exchanges messages about load with other nodes as datagrams. */
public final class LoadSocket implements LoadChannel {
    private static final int WARN_SECONDS = 10;
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DatagramSocket socket;

    /**
     * Creates a socket that does not listen yet.
     *
     * @param vertx event loop
     */
    public LoadSocket(Vertx vertx) {
        socket = vertx.createDatagramSocket(new DatagramSocketOptions().setIpV6(false));
    }

    /**
     * Starts to receive messages.
     *
     * @param address address to listen at
     * @param receiver receives the address of the sender and the message
     * @param malformed runs for each datagram that cannot be decoded
     */
    public void listen(
            Address address, BiConsumer<Address, LoadMessage> receiver, Runnable malformed) {
        socket.handler(packet -> handle(packet, receiver, malformed));
        socket.listen(address.port(), address.host())
                .onFailure(e -> logger.atWarning().log("cannot listen at %s: %s", address, e));
    }

    private static void handle(
            DatagramPacket packet, BiConsumer<Address, LoadMessage> receiver, Runnable malformed) {
        Address sender = new Address(packet.sender().hostAddress(), packet.sender().port());
        try {
            receiver.accept(sender, LoadCodec.decode(packet.data().getBytes()));
        } catch (InvalidArgumentException e) {
            malformed.run();
            logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                    "malformed message from %s: %s", sender, e.getMessage());
        }
    }

    @Override
    public void send(Address to, LoadMessage message) {
        LoadCodec.encode(message).forEach(bytes -> send(to, bytes));
    }

    private void send(Address to, byte[] bytes) {
        socket.send(Buffer.buffer(bytes), to.port(), to.host())
                .onFailure(
                        e ->
                                logger.atWarning().atMostEvery(WARN_SECONDS, TimeUnit.SECONDS).log(
                                        "cannot send to %s: %s", to, e));
    }
}
