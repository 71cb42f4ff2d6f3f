package hyssopturn.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Keeps bytes in the heap that a connection cannot send yet; the first handler of its pipeline.
 *
 * <p>Netty copies all that is written to direct memory. So only a part of a large message is handed
 * on, and the rest waits in the heap until the other side has read that. All connections share the
 * direct memory; when it is used up, a connection hands on one small piece at a time.
 */
final class UnsentBytes extends ChannelDuplexHandler {
    /** Number of bytes of a connection in direct memory from which it takes no more. */
    static final int HIGH_BYTES = 32_768;

    /** Number of bytes of a connection in direct memory at which it takes more again. */
    static final int LOW_BYTES = 16_384;

    private static final int PIECE_BYTES = 16_384;

    /** Number of bytes that a connection without any in direct memory may always hand on. */
    private static final int SMALL_PIECE_BYTES = 1_024;

    /** Index of the writability flag that says whether much waits in the heap. */
    private static final int WAITING_FLAG = 1;

    private final WriteMemory memory;
    private final Runnable progress;
    private final Queue<Write> writes = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private long waitingBytes;
    private boolean draining;

    private record Write(Object message, ChannelPromise promise) {}

    /**
     * Creates a handler of a new connection.
     *
     * @param memory direct memory of all connections
     * @param progress is run when the other side has read something
     */
    UnsentBytes(WriteMemory memory, Runnable progress) {
        this.memory = memory;
        this.progress = progress;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        added.channel().closeFuture().addListener(closed -> discard());
    }

    /** Returns the number of bytes that the other side has not read, in any memory. */
    long count() {
        return waitingBytes + pending();
    }

    /** Returns whether all that was written is handed on. */
    boolean isEmpty() {
        return writes.isEmpty();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        int size = size(message);
        if (writes.isEmpty() && fits(size)) {
            handOn(message, size, promise);
            return;
        }
        waitingBytes += size;
        writes.add(new Write(message, promise));
        announceWaiting();
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        drain();
        context.flush();
    }

    private boolean fits(int size) {
        if (size <= SMALL_PIECE_BYTES && pending() == 0) {
            return true;
        }
        return size <= memory.room() && (size <= PIECE_BYTES || size + pending() <= HIGH_BYTES);
    }

    private long pending() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private void handOn(Object message, int size, ChannelPromise promise) {
        memory.add(size);
        ChannelPromise sent = promise.unvoid();
        sent.addListener(done -> sent(size));
        context.write(message, sent);
    }

    private void sent(int size) {
        memory.add(-size);
        progress.run();
        if (!writes.isEmpty() && !draining) {
            drain();
            context.flush();
        }
    }

    /** Hands on what the connection takes now. */
    private void drain() {
        draining = true;
        while (!writes.isEmpty() && drainFirst()) {
            announceWaiting();
        }
        draining = false;
    }

    private static int size(Object message) {
        return message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    }

    /** Hands on the first message or a piece of it; returns false if nothing may be handed on. */
    private boolean drainFirst() {
        Write first = writes.element();
        int most = nextPiece();
        if (first.message() instanceof ByteBuf bytes && bytes.readableBytes() > most) {
            if (most == 0) {
                return false;
            }
            waitingBytes -= most;
            handOn(bytes.readRetainedSlice(most), most, context.newPromise());
            return true;
        }
        int size = size(first.message());
        writes.remove();
        waitingBytes -= size;
        handOn(first.message(), size, first.promise());
        return true;
    }

    /** Returns the number of bytes that may be handed on now, 0 if none may. */
    private int nextPiece() {
        long pending = pending();
        if (pending > HIGH_BYTES) {
            return 0;
        }
        int piece = (int) Math.min(PIECE_BYTES, memory.room());
        if (piece >= SMALL_PIECE_BYTES) {
            return piece;
        }
        return pending == 0 ? SMALL_PIECE_BYTES : 0;
    }

    /** Lets the writers of the connection know whether much waits. */
    private void announceWaiting() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        if (buffer == null) {
            return;
        }
        if (waitingBytes > HIGH_BYTES) {
            buffer.setUserDefinedWritability(WAITING_FLAG, false);
        } else if (waitingBytes <= LOW_BYTES) {
            buffer.setUserDefinedWritability(WAITING_FLAG, true);
        }
    }

    /** Drops what is kept, since the connection has ended. */
    private void discard() {
        while (!writes.isEmpty()) {
            Write write = writes.remove();
            ReferenceCountUtil.release(write.message());
            write.promise().tryFailure(new ClosedChannelException());
        }
        waitingBytes = 0;
    }
}
