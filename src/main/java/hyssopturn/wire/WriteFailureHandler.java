package hyssopturn.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

import java.io.IOException;

/**
 * Reports a connection that failed while a request was written to the reader of its answer.
 *
 * <p>An answer that has neither a length nor chunks ends with its connection, and is whole only if
 * the other side closed that in order. Netty reports a reset to the reader if a read notices it. If
 * a write does, Netty closes the connection without an error, which looks like an end in order, and
 * drops bytes that have arrived. With this handler such a connection is read to its end, where the
 * reader gets the error. An answer that is whole by its length or chunks has ended by then.
 */
public final class WriteFailureHandler extends ChannelInboundHandlerAdapter {
    private final Runnable listener;
    private boolean failed;

    private WriteFailureHandler(Runnable listener) {
        this.listener = listener;
    }

    /**
     * Watches a new connection.
     *
     * @param connection connection of an HTTP client, on which nothing was sent yet
     * @param listener is run if the connection fails while a request is written
     */
    public static void watch(HttpConnection connection, Runnable listener) {
        Channel channel = ((ConnectionBase) connection).channel();
        channel.config().setAutoClose(false);
        channel.pipeline().addFirst(new WriteFailureHandler(listener));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof ChannelOutputShutdownEvent) {
            failed = true;
            listener.run();
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (failed) {
            context.fireExceptionCaught(
                    new IOException("connection failed while a request was written"));
        }
        super.channelInactive(context);
    }
}
