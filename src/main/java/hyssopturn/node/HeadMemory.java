package hyssopturn.node;

import io.netty.handler.codec.http.HttpHeaders;

import java.util.Iterator;

/**
 * Memory of the head of a request in progress, and of what the decoder keeps of an incomplete head,
 * chunk line or trailer section; not thread-safe.
 */
final class HeadMemory {
    /** Memory of a header line besides its bytes. */
    private static final long LINE_BYTES = 200;

    /** Copies of the bytes of a head: as they are read and as strings. */
    private static final long COPIES = 2;

    /** What the limit of the configuration counts for a header line at least, in bytes. */
    private static final long COUNTED_LINE_BYTES = 4;

    private long openLines;
    private long mixedLines;
    private long openBytes;
    private long openCost;
    private long headCost;

    /** Returns the memory, in bytes. */
    long bytes() {
        return headCost + openCost;
    }

    /** Adds bytes that are decoded next. */
    void add(int lines, int size) {
        openLines += lines;
        openBytes += size;
        openCost = openBytes * COPIES + (openLines + mixedLines) * LINE_BYTES;
    }

    /**
     * Records that the bytes added last completed a message. They may hold the beginning of the
     * next one, so they count until they are followed by another one.
     */
    void messageCompleted(int lines, int size) {
        openLines = 0;
        mixedLines = lines;
        openBytes = size;
        openCost = openBytes * COPIES + mixedLines * LINE_BYTES;
    }

    /** Records that bytes of a body of announced length were passed on, which are not kept. */
    void bodyPassed() {
        openBytes = 0;
    }

    /** Records that a head is complete. */
    void headCompleted(HttpHeaders headers) {
        headCost = openBytes * COPIES + lines(headers) * LINE_BYTES;
        openCost = 0;
    }

    /** Records that the request is over, whose head has been kept until then. */
    void requestEnded() {
        headCost = 0;
    }

    /** Returns whether an incomplete section has more lines than a limit in bytes allows. */
    boolean exceeds(long limitBytes) {
        return openLines * COUNTED_LINE_BYTES > limitBytes;
    }

    /** Returns the number of header lines; a map of Vert.x tells only how many names it has. */
    private static int lines(HttpHeaders headers) {
        int lines = 0;
        Iterator<?> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            entries.next();
            lines++;
        }
        return lines;
    }
}
