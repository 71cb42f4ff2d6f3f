package hyssopturn.relay;

import io.vertx.core.buffer.Buffer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Cuts the bytes of an event stream into whole events. */
final class EventFramer {
    private static final String ID = "id:";

    /** Longest event that is waited for, in bytes; far above those of engines. */
    private static final int MAX_BYTES = 1_000_000;

    private static final byte NEWLINE = '\n';
    private static final byte RETURN = '\r';

    private Buffer rest = Buffer.buffer();

    /** A whole event with the blank line that ends it. */
    record Event(OptionalLong id, Buffer bytes) {}

    /** Takes bytes and returns the events that they complete. */
    List<Event> feed(Buffer bytes) {
        Buffer all = rest.length() == 0 ? bytes : rest.appendBuffer(bytes);
        List<Event> events = new ArrayList<>();
        int begin = 0;
        int lineBegin = 0;
        for (int at = 0; at < all.length(); at++) {
            if (all.getByte(at) != NEWLINE) {
                continue;
            }
            if (blank(all, lineBegin, at)) {
                Buffer event = all.getBuffer(begin, at + 1);
                events.add(new Event(id(event), event));
                begin = at + 1;
            }
            lineBegin = at + 1;
        }
        rest = all.getBuffer(begin, all.length());
        return events;
    }

    private static boolean blank(Buffer all, int begin, int end) {
        return begin == end || (begin + 1 == end && all.getByte(begin) == RETURN);
    }

    /** Tells whether an event has begun and not ended. */
    boolean torn() {
        return rest.length() > 0;
    }

    /** Tells whether more has come of one event than an event may have. */
    boolean endless() {
        return rest.length() > MAX_BYTES;
    }

    private static OptionalLong id(Buffer event) {
        for (String line : event.toString(StandardCharsets.UTF_8).split("\n", -1)) {
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
