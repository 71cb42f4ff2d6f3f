package hyssopturn.platform;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.Bytes;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decodes announcements of endpoints, and parses only those that bring news.
 *
 * <p>Every endpoint repeats its announcement about once a second, and every node reads them all.
 * Nearly all of them differ from the endpoint's last one only in the sequence number. Not
 * thread-safe.
 */
final class HeartbeatDecoder {
    /** Field name of the sequence number with the separator after it. */
    private static final byte[] SEQUENCE = "\"Sequence\":".getBytes(StandardCharsets.US_ASCII);

    /** Longest sequence number that is read without parsing; it always fits into a long. */
    private static final int MAX_DIGITS = 18;

    /** Number of endpoints above which all are forgotten, since most of them are gone by then. */
    private static final int MAX_KNOWN = 4_096;

    private final Map<String, Known> known = new HashMap<>();

    /** The bytes of an announcement around its sequence number, and what they mean. */
    private static final class Known {
        private final byte[] value;
        private final int numberStart;
        private final int numberEnd;
        private final Endpoint endpoint;

        Known(byte[] value, int numberStart, int numberEnd, Endpoint endpoint) {
            this.value = value;
            this.numberStart = numberStart;
            this.numberEnd = numberEnd;
            this.endpoint = endpoint;
        }

        Optional<Endpoint> repeatedBy(byte[] other) {
            int tail = value.length - numberEnd;
            int end = other.length - tail;
            int digits = end - numberStart;
            if (digits < 1 || digits > MAX_DIGITS || (digits > 1 && other[numberStart] == '0')) {
                return Optional.empty();
            }
            boolean same =
                    Arrays.equals(value, 0, numberStart, other, 0, numberStart)
                            && Arrays.equals(
                                    value, numberEnd, value.length, other, end, other.length);
            return same
                    ? number(other, numberStart, end).map(endpoint::withHeartbeat)
                    : Optional.empty();
        }
    }

    /**
     * Decodes an announcement.
     *
     * @param id name of the endpoint
     * @param value its announcement
     * @return the endpoint
     * @throws JsonValue.MalformedException if the announcement is malformed
     */
    Endpoint decode(String id, Bytes value) {
        byte[] bytes = value.toArray();
        Optional<Endpoint> repeated =
                Optional.ofNullable(known.get(id)).flatMap(k -> k.repeatedBy(bytes));
        return repeated.orElseGet(() -> parse(id, value, bytes));
    }

    /**
     * Returns whether an announcement differs from an earlier one only in a greater sequence
     * number.
     *
     * @param earlier the earlier announcement
     * @param later the announcement
     * @return true if it says nothing else
     */
    static boolean repeats(Bytes earlier, Bytes later) {
        byte[] a = earlier.toArray();
        byte[] b = later.toArray();
        int field = indexOf(a, 0);
        if (field < 0 || indexOf(a, field + 1) >= 0) {
            return false;
        }
        int start = field + SEQUENCE.length;
        int endA = endOfDigits(a, start);
        int endB = b.length - (a.length - endA);
        return endB > start
                && Arrays.equals(a, 0, start, b, 0, start)
                && Arrays.equals(a, endA, a.length, b, endB, b.length)
                && number(a, start, endA)
                        .flatMap(n -> number(b, start, endB).filter(m -> m > n))
                        .isPresent();
    }

    private static int endOfDigits(byte[] bytes, int start) {
        int end = start;
        while (end < bytes.length && isDigit(bytes[end])) {
            end++;
        }
        return end;
    }

    private Endpoint parse(String id, Bytes value, byte[] bytes) {
        known.remove(id);
        Endpoint endpoint = EndpointDecoder.decode(id, value);
        if (known.size() >= MAX_KNOWN) {
            known.clear();
        }
        remember(id, bytes, endpoint);
        return endpoint;
    }

    /** Remembers an announcement whose sequence number is the only field of that name. */
    private void remember(String id, byte[] bytes, Endpoint endpoint) {
        int field = indexOf(bytes, 0);
        if (field < 0 || indexOf(bytes, field + 1) >= 0) {
            return;
        }
        int start = field + SEQUENCE.length;
        int end = endOfDigits(bytes, start);
        boolean whole = end < bytes.length && (bytes[end] == ',' || bytes[end] == '}');
        if (whole && number(bytes, start, end).equals(Optional.of(endpoint.heartbeat()))) {
            known.put(id, new Known(bytes, start, end, endpoint));
        }
    }

    private static int indexOf(byte[] bytes, int from) {
        for (int i = from; i + SEQUENCE.length <= bytes.length; i++) {
            if (Arrays.equals(bytes, i, i + SEQUENCE.length, SEQUENCE, 0, SEQUENCE.length)) {
                return i;
            }
        }
        return -1;
    }

    private static Optional<Long> number(byte[] bytes, int start, int end) {
        if (end == start || end - start > MAX_DIGITS) {
            return Optional.empty();
        }
        long number = 0;
        for (int i = start; i < end; i++) {
            if (!isDigit(bytes[i])) {
                return Optional.empty();
            }
            number = 10 * number + (bytes[i] - '0');
        }
        return Optional.of(number);
    }

    private static boolean isDigit(byte character) {
        return character >= '0' && character <= '9';
    }
}
