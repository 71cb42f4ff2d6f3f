package hyssopturn.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Pieces of the bytes of a caller, which are decoded one after the other. */
final class Pieces {
    /** Capacity up to which a buffer may be kept for a small part of it, in bytes. */
    private static final int SMALL_BUFFER_BYTES = 2_048;

    private Pieces() {}

    /** Takes bytes; a part of a large buffer is copied, since the decoder may keep it. */
    static ByteBuf take(ByteBuf bytes, int size) {
        if (bytes.capacity() <= SMALL_BUFFER_BYTES) {
            return bytes.readRetainedSlice(size);
        }
        ByteBuf copy = Unpooled.buffer(size);
        bytes.readBytes(copy, size);
        return copy;
    }

    /** Returns the number of line ends in the next bytes. */
    static int lines(ByteBuf bytes, int size) {
        int lines = 0;
        int start = bytes.readerIndex();
        int end = start + size;
        int next = bytes.indexOf(start, end, (byte) '\n');
        while (next >= 0) {
            lines++;
            next = bytes.indexOf(next + 1, end, (byte) '\n');
        }
        return lines;
    }
}
