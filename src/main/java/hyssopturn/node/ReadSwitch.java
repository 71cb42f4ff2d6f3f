package hyssopturn.node;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;

/**
 * Stops reading a connection for a while, beside Vert.x, which does so for reasons of its own; not
 * thread-safe.
 *
 * <p>Reading is stopped when no bytes are being decoded, so that Vert.x has taken its own decision.
 * While it is stopped, Vert.x may only ask to read again, which is then done later.
 */
final class ReadSwitch {
    private boolean stopped;
    private boolean stoppedHere;

    /** Returns whether reading is stopped, so that a request to read is not passed on. */
    boolean stopped() {
        return stopped;
    }

    /** Stops reading. */
    void stop(ChannelHandlerContext context) {
        if (stopped) {
            return;
        }
        stopped = true;
        ChannelConfig config = context.channel().config();
        stoppedHere = config.isAutoRead();
        if (stoppedHere) {
            config.setAutoRead(false);
        }
    }

    /** Reads on unless Vert.x has stopped reading. */
    void resume(ChannelHandlerContext context) {
        if (!stopped) {
            return;
        }
        stopped = false;
        ChannelConfig config = context.channel().config();
        if (config.isAutoRead()) {
            context.read();
        } else if (stoppedHere) {
            config.setAutoRead(true);
        }
    }
}
