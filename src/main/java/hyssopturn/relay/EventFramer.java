package hyssopturn.relay;

import io.vertx.core.buffer.Buffer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/** Splits the bytes of an event stream into complete events. */
final class EventFramer {
    private static final String ID = "id:";
    private static final String COMMENT = ":";

    /** Maximum size of an event, in bytes; far above the events of engines. */
    private static final int MAX_EVENT_BYTES = 1_000_000;

    private static final byte NEWLINE = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private Buffer pending = Buffer.buffer();

    /** A complete event or comment with the blank line that ends it. */
    record Event(OptionalLong id, boolean comment, Buffer bytes) {}

    /** Adds bytes of the stream and returns the events that they complete. */
    List<Event> feed(Buffer bytes) {
        Buffer all = pending.length() == 0 ? bytes : pending.appendBuffer(bytes);
        List<Event> events = new ArrayList<>();
        int begin = 0;
        int lineBegin = 0;
        for (int i = 0; i < all.length(); i++) {
            if (all.getByte(i) != NEWLINE) {
                continue;
            }
            if (blank(all, lineBegin, i)) {
                Buffer block = all.getBuffer(begin, i + 1);
                events.add(event(block));
                begin = i + 1;
            }
            lineBegin = i + 1;
        }
        pending = all.getBuffer(begin, all.length());
        return events;
    }

    private static boolean blank(Buffer all, int begin, int end) {
        return begin == end || (begin + 1 == end && all.getByte(begin) == CARRIAGE_RETURN);
    }

    /** Returns whether the stream ends within an event. */
    boolean incomplete() {
        return pending.length() > 0;
    }

    /** Returns whether the incomplete event exceeds the maximum size. */
    boolean tooLong() {
        return pending.length() > MAX_EVENT_BYTES;
    }

    private static Event event(Buffer block) {
        String[] lines = block.toString(StandardCharsets.UTF_8).split("\n", -1);
        boolean comment =
                Arrays.stream(lines).allMatch(line -> line.isBlank() || line.startsWith(COMMENT));
        return new Event(id(lines), comment, block);
    }

    private static OptionalLong id(String[] lines) {
        for (String line : lines) {
            if (line.startsWith(ID)) {
                return number(line.substring(ID.length()).strip());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
