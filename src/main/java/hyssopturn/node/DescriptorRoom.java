package hyssopturn.node;

import hyssopturn.model.MachineLimits;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Descriptors that the process may open besides those that are open.
 *
 * @param all number of descriptors of any kind
 * @param sockets number of sockets and pipes, which is no limit if it is larger
 */
record DescriptorRoom(long all, long sockets) {
    private static final Path OPEN = Path.of("/proc/self/fd");
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\d+)\\s.*");

    /** Sockets for each tunnel: tunnels take two, of the tenth that callers leave free. */
    private static final int SOCKETS_PER_TUNNEL = 20;

    private static final int MAX_TUNNELS = 1_000;

    /** Limit that is assumed where the system does not tell it. */
    private static final long UNKNOWN = 1_024;

    /** Returns the room of this process on its machine. */
    static DescriptorRoom of(MachineLimits machine) {
        long sockets = machine.sockets().orElse(Integer.MAX_VALUE);
        try (Stream<Path> list = Files.list(OPEN)) {
            List<Path> open = list.toList();
            long all = softLimit(Files.readAllLines(LIMITS)) - open.size();
            long openSockets = open.stream().filter(DescriptorRoom::isSocketOrPipe).count();
            return new DescriptorRoom(Math.max(0, all), Math.max(0, sockets - openSockets));
        } catch (IOException e) {
            return new DescriptorRoom(UNKNOWN, sockets);
        }
    }

    /**
     * Returns the most tunnels for other nodes. A platform that counts sockets apart from files
     * limits them itself, whatever the system says of descriptors.
     */
    static int tunnels(MachineLimits machine) {
        long sockets =
                machine.sockets().isPresent() ? machine.sockets().getAsInt() : of(machine).all;
        return (int) Math.min(MAX_TUNNELS, sockets / SOCKETS_PER_TUNNEL);
    }

    private static boolean isSocketOrPipe(Path descriptor) {
        try {
            String target = Files.readSymbolicLink(descriptor).toString();
            return target.startsWith("socket:") || target.startsWith("pipe:");
        } catch (IOException e) {
            return true;
        }
    }

    /** Returns the soft limit from the lines of the system's table. */
    static long softLimit(List<String> lines) {
        return lines.stream()
                .map(OPEN_FILES::matcher)
                .filter(Matcher::matches)
                .mapToLong(m -> Long.parseLong(m.group(1)))
                .findFirst()
                .orElse(UNKNOWN);
    }
}
