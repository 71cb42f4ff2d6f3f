package hyssopturn.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** The system's tables of TCP sockets. */
final class SocketTable {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final int LOCAL_ADDRESS = 1;
    private static final int STATE = 3;
    private static final int QUEUES = 4;
    private static final int HEXADECIMAL = 16;
    private static final String LISTENING = "0A";

    private SocketTable() {}

    /** Returns the bytes that arrived at a port and that its process has not read. */
    static long unreadBytes(int port) {
        return TABLES.stream().mapToLong(table -> unreadBytes(table, port)).sum();
    }

    private static long unreadBytes(Path table, int port) {
        String suffix = ":%04X".formatted(port);
        try (Stream<String> lines = Files.lines(table)) {
            return lines.skip(1)
                    .map(line -> line.strip().split("\\s+"))
                    .filter(socket -> socket[LOCAL_ADDRESS].endsWith(suffix))
                    .filter(socket -> !socket[STATE].equals(LISTENING))
                    .mapToLong(socket -> received(socket[QUEUES]))
                    .sum();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long received(String queues) {
        return Long.parseLong(queues.substring(queues.indexOf(':') + 1), HEXADECIMAL);
    }
}
