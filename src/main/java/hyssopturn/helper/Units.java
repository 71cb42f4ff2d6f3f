package hyssopturn.helper;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parser of durations and sizes with a unit, such as {@code 250ms} and {@code 64MiB}. */
public final class Units {
    private static final Pattern PATTERN = Pattern.compile("(\\d+)\\s*([a-zA-Z]+)");
    private static final Map<String, Duration> DURATIONS =
            Map.of(
                    "us", Duration.ofNanos(1_000),
                    "ms", Duration.ofMillis(1),
                    "s", Duration.ofSeconds(1),
                    "m", Duration.ofMinutes(1),
                    "h", Duration.ofHours(1),
                    "d", Duration.ofDays(1));
    private static final Map<String, Long> SIZES =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    private Units() {}

    /**
     * Parses a duration.
     *
     * @param text a whole number followed by one of us, ms, s, m, h, d
     * @return the duration, empty if the text is not a valid duration
     */
    public static Optional<Duration> duration(String text) {
        Matcher matcher = PATTERN.matcher(text.strip());
        if (!matcher.matches() || !DURATIONS.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        try {
            long count = Long.parseLong(matcher.group(1));
            return Optional.of(DURATIONS.get(matcher.group(2)).multipliedBy(count));
        } catch (NumberFormatException | ArithmeticException e) {
            return Optional.empty();
        }
    }

    /**
     * Parses a size.
     *
     * @param text a whole number followed by one of B, KiB, MiB, GiB
     * @return the size in bytes, empty if the text is not a valid size
     */
    public static Optional<Long> size(String text) {
        Matcher matcher = PATTERN.matcher(text.strip());
        if (!matcher.matches() || !SIZES.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        try {
            long count = Long.parseLong(matcher.group(1));
            return Optional.of(Math.multiplyExact(count, SIZES.get(matcher.group(2))));
        } catch (NumberFormatException | ArithmeticException e) {
            return Optional.empty();
        }
    }
}
