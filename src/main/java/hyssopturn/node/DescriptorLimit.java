package hyssopturn.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Number of descriptors that the process may open. */
final class DescriptorLimit {
    private static final Path OPEN = Path.of("/proc/self/fd");
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\d+)\\s.*");

    /** Limit that is assumed where the system does not tell it. */
    private static final long UNKNOWN = 1_024;

    private DescriptorLimit() {}

    /** Returns how many descriptors the process may open besides those that are open. */
    static long available() {
        try (Stream<Path> open = Files.list(OPEN)) {
            return Math.max(0, parse(Files.readAllLines(LIMITS)) - open.count());
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** Returns the soft limit from the lines of the system's table. */
    static long parse(List<String> lines) {
        return lines.stream()
                .map(OPEN_FILES::matcher)
                .filter(Matcher::matches)
                .mapToLong(m -> Long.parseLong(m.group(1)))
                .findFirst()
                .orElse(UNKNOWN);
    }
}
