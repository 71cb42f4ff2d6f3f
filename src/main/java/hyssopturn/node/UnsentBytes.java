package hyssopturn.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Bytes of answers that a connection has not sent yet; not thread-safe.
 *
 * <p>Netty copies all that is written to direct memory. So only a part of a large answer is handed
 * on, and the rest stays in the heap until its caller has read that.
 */
final class UnsentBytes {
    /** Number of bytes in direct memory from which a connection takes no more. */
    static final int HIGH_BYTES = 32_768;

    /** Number of bytes in direct memory at which a connection takes more again. */
    static final int LOW_BYTES = 16_384;

    private static final int PIECE_BYTES = 16_384;

    private final Queue<Write> writes = new ArrayDeque<>();
    private long waitingBytes;

    private record Write(Object message, ChannelPromise promise) {}

    /** Returns the number of bytes that the caller has not read, in any memory. */
    long count(ChannelHandlerContext context) {
        return waitingBytes + pending(context);
    }

    private static long pending(ChannelHandlerContext context) {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Hands a message on, or keeps it if it is large or others are kept. */
    void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        int size = size(message);
        if (writes.isEmpty() && (size <= PIECE_BYTES || size + pending(context) <= HIGH_BYTES)) {
            context.write(message, promise);
            return;
        }
        waitingBytes += size;
        writes.add(new Write(message, promise));
    }

    /** Hands on what the connection takes now. */
    void drain(ChannelHandlerContext context) {
        while (!writes.isEmpty() && pending(context) <= HIGH_BYTES) {
            Write first = writes.element();
            if (first.message() instanceof ByteBuf bytes && bytes.readableBytes() > PIECE_BYTES) {
                waitingBytes -= PIECE_BYTES;
                context.write(bytes.readRetainedSlice(PIECE_BYTES), context.voidPromise());
            } else {
                writes.remove();
                waitingBytes -= size(first.message());
                context.write(first.message(), first.promise());
            }
        }
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    /** Drops what is kept, since the connection has ended. */
    void discard() {
        while (!writes.isEmpty()) {
            Write write = writes.remove();
            ReferenceCountUtil.release(write.message());
            write.promise().tryFailure(new ClosedChannelException());
        }
        waitingBytes = 0;
    }

    private static int size(Object message) {
        return message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    }
}
