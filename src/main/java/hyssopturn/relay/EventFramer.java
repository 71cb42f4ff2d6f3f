package hyssopturn.relay;

import io.vertx.core.buffer.Buffer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>Each byte is examined once, however many pieces an event arrives in.
 */
final class EventFramer {
    /** Maximum size of an event, in bytes; far above the events of engines. */
    static final int MAX_EVENT_BYTES = 1_000_000;

    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    /** Initial capacity of the buffer, in bytes; it returns to this size when it is empty. */
    private static final int INITIAL_BYTES = 256;

    private static final byte NEWLINE = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COLON = ':';
    private static final byte SPACE = ' ';

    private byte[] buffer = new byte[INITIAL_BYTES];
    private int length;
    private int examined;
    private int lineBegin;
    private boolean hasField;
    private boolean hasId;
    private OptionalLong id = OptionalLong.empty();

    /** A complete event or comment with the blank line that ends it. */
    record Event(OptionalLong id, boolean comment, Buffer bytes) {}

    /** Adds bytes of the stream and returns the events that they complete. */
    List<Event> feed(Buffer bytes) {
        append(bytes);
        List<Event> events = new ArrayList<>();
        int begin = 0;
        for (; examined < length; examined++) {
            if (buffer[examined] != NEWLINE) {
                continue;
            }
            int next = examined + 1;
            if (blank(lineBegin, examined)) {
                events.add(event(begin, next));
                begin = next;
            } else {
                readLine(lineBegin, examined);
            }
            lineBegin = next;
        }
        discard(begin);
        return events;
    }

    /** Returns whether the stream ends within an event. */
    boolean incomplete() {
        return length > 0;
    }

    /** Returns whether the incomplete event exceeds the maximum size. */
    boolean tooLong() {
        return length > MAX_EVENT_BYTES;
    }

    /** Returns the number of bytes of memory that are used. */
    int usedBytes() {
        return buffer.length;
    }

    private void append(Buffer bytes) {
        int needed = length + bytes.length();
        if (needed > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(needed, 2 * buffer.length));
        }
        bytes.getBytes(buffer, length);
        length = needed;
    }

    /** Removes the events from the beginning of the buffer. */
    private void discard(int end) {
        if (end == 0) {
            return;
        }
        int rest = length - end;
        boolean shrinks = buffer.length > INITIAL_BYTES && rest <= INITIAL_BYTES;
        byte[] target = shrinks ? new byte[INITIAL_BYTES] : buffer;
        System.arraycopy(buffer, end, target, 0, rest);
        buffer = target;
        length = rest;
        examined = rest;
        lineBegin -= end;
    }

    private boolean blank(int begin, int end) {
        return begin == end || (begin + 1 == end && buffer[begin] == CARRIAGE_RETURN);
    }

    private void readLine(int begin, int end) {
        hasField |= field(begin, end);
        if (!hasId && startsWithId(begin, end)) {
            hasId = true;
            id = number(begin + ID.length, end);
        }
    }

    /** Returns whether a line is neither a comment nor white space. */
    private boolean field(int begin, int end) {
        if (buffer[begin] == COLON) {
            return false;
        }
        for (int i = begin; i < end; i++) {
            if (buffer[i] < 0 || buffer[i] > SPACE) {
                return true;
            }
        }
        return false;
    }

    private boolean startsWithId(int begin, int end) {
        return end - begin >= ID.length
                && Arrays.equals(buffer, begin, begin + ID.length, ID, 0, ID.length);
    }

    private OptionalLong number(int begin, int end) {
        String text = new String(buffer, begin, end - begin, StandardCharsets.UTF_8);
        try {
            return OptionalLong.of(Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private Event event(int begin, int end) {
        Buffer bytes = Buffer.buffer(Arrays.copyOfRange(buffer, begin, end));
        Event event = new Event(id, !hasField, bytes);
        hasField = false;
        hasId = false;
        id = OptionalLong.empty();
        return event;
    }
}
