package hyssopturn.helper;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations and sizes written with their unit, such as {@code 250ms} and {@code 64MiB}. */
public final class Units {
    private static final Pattern FORM = Pattern.compile("(\\d+)\\s*([a-zA-Z]+)");
    private static final Map<String, Duration> SPANS =
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
     * Reads a duration.
     *
     * @param text a whole number and one of us, ms, s, m, h, d
     * @return the duration, empty if the text is not one
     */
    public static Optional<Duration> duration(String text) {
        Matcher matcher = FORM.matcher(text.strip());
        if (!matcher.matches() || !SPANS.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        try {
            long count = Long.parseLong(matcher.group(1));
            return Optional.of(SPANS.get(matcher.group(2)).multipliedBy(count));
        } catch (NumberFormatException | ArithmeticException e) {
            return Optional.empty();
        }
    }

    /**
     * Reads a size.
     *
     * @param text a whole number and one of B, KiB, MiB, GiB
     * @return the size in bytes, empty if the text is not one
     */
    public static Optional<Long> size(String text) {
        Matcher matcher = FORM.matcher(text.strip());
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
