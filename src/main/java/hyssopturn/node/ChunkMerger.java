package hyssopturn.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;

/**
 * Copies small chunks of a body together, since each costs some 200 bytes besides its content; not
 * thread-safe.
 */
final class ChunkMerger {
    /** Size from which a chunk is passed on as it is, in bytes. */
    private static final int SMALL_BYTES = 512;

    /** Size at which merged chunks are passed on, in bytes. */
    private static final int MERGED_BYTES = 8_192;

    private ByteBuf merged = Unpooled.EMPTY_BUFFER;

    /** Passes a chunk on, now or with the next ones. */
    void read(ChannelHandlerContext context, HttpContent chunk) {
        int size = chunk.content().readableBytes();
        if (size >= SMALL_BYTES || chunk.decoderResult().isFailure()) {
            flush(context);
            context.fireChannelRead(chunk);
            return;
        }
        if (!merged.isReadable()) {
            merged = Unpooled.buffer(SMALL_BYTES, MERGED_BYTES);
        }
        merged.writeBytes(chunk.content());
        chunk.release();
        if (merged.maxWritableBytes() < SMALL_BYTES) {
            flush(context);
        }
    }

    /** Passes on what was kept. */
    void flush(ChannelHandlerContext context) {
        if (merged.isReadable()) {
            ByteBuf bytes = merged;
            merged = Unpooled.EMPTY_BUFFER;
            context.fireChannelRead(new DefaultHttpContent(bytes));
        }
    }

    /** Drops what was kept, since the connection has ended. */
    void discard() {
        merged = Unpooled.EMPTY_BUFFER;
    }
}
