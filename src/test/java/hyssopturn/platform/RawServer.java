package hyssopturn.platform;

import hyssopturn.model.Address;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Server that answers each request with fixed bytes and then ends or resets the connection. */
final class RawServer {
    private static final String HOST = "127.0.0.1";

    /** Time for the bytes to arrive before the connection is reset. */
    private static final long RESET_DELAY_MILLIS = 100;

    private final Vertx vertx;
    private volatile String answer;
    private final End end;
    private final Address address;
    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());

    /** What happens to a connection after the answer. */
    enum End {
        CLOSED,
        RESET
    }

    RawServer(Vertx vertx, String answer, End end) {
        this.vertx = vertx;
        this.answer = answer;
        this.end = end;
        int port =
                vertx.createNetServer()
                        .connectHandler(this::accept)
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        address = new Address(HOST, port);
    }

    private void accept(NetSocket socket) {
        socket.handler(
                request -> {
                    requests.add(request.toString(StandardCharsets.ISO_8859_1));
                    socket.write(answer).onSuccess(v -> finish(socket));
                });
    }

    private void finish(NetSocket socket) {
        if (end == End.CLOSED) {
            socket.close();
            return;
        }
        vertx.setTimer(RESET_DELAY_MILLIS, timer -> reset(socket));
    }

    /** Closes with a linger time of zero, which sends a reset. */
    private static void reset(NetSocket socket) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    Address address() {
        return address;
    }

    /** Sets the bytes of the next answers. */
    void answer(String next) {
        answer = next;
    }

    /** Returns the bytes that were read at a time, one character for each byte. */
    List<String> requests() {
        return List.copyOf(requests);
    }

    /** Returns the number of requests. */
    int requestCount() {
        return requests.size();
    }
}
