package hyssopturn.platform;

import hyssopturn.Main;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A router in a process of its own, on a given machine. */
final class RouterProcess implements AutoCloseable {
    private static final int HEAP_MB = 48;
    private static final int DIRECT_MB = 24;

    /** Memory of the JVM besides heap and direct memory: code, classes, stacks, collector. */
    private static final int JVM_MB = 96;

    /** Most resident memory and bytes that the process has not read, in bytes. */
    static final long MAX_RESIDENT_BYTES = (HEAP_MB + DIRECT_MB + JVM_MB) * (1L << 20);

    /** Number of descriptors that the process may open. */
    static final int DESCRIPTORS = 320;

    /** Descriptors that callers must leave to engines, store, readiness and files. */
    static final int RESERVED_DESCRIPTORS = 32;

    private static final int EXIT_SECONDS = 10;
    private static final long BYTES_PER_KB = 1_024;

    private final Process process;
    private final Path output;

    /** A machine with little memory and few descriptors, whose limits the settings do not name. */
    static final RouterMachine SMALL_MACHINE = new RouterMachine(DESCRIPTORS, smallOptions(), "");

    /**
     * Starts a router.
     *
     * @param settings settings of the platform
     * @param directory directory for the settings file and the output
     * @param options further options of the router
     * @param machine the router's machine
     */
    RouterProcess(
            PlatformSettings settings, Path directory, List<String> options, RouterMachine machine)
            throws IOException {
        Path file = directory.resolve("node.toml");
        Files.writeString(file, toml(settings) + machine.limits());
        output = directory.resolve("output");
        process =
                new ProcessBuilder(command(file, options, machine))
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start();
    }

    private static List<String> smallOptions() {
        return List.of(
                "-Xms16m",
                "-Xmx" + HEAP_MB + "m",
                "-Xss384k",
                "-XX:MaxDirectMemorySize=" + DIRECT_MB + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+ExitOnOutOfMemoryError",
                "-XX:-UsePerfData",
                "--sun-misc-unsafe-memory-access=allow",
                "-Dio.netty.allocator.numDirectArenas=1",
                "-Dio.netty.allocator.numHeapArenas=1",
                "-Dvertx.disableDnsResolver=true");
    }

    private static List<String> command(Path file, List<String> options, RouterMachine machine) {
        List<String> command = new ArrayList<>();
        String limit = "ulimit -n " + machine.descriptors();
        command.addAll(List.of("sh", "-c", limit + " && exec \"$@\"", "router"));
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(machine.options());
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(Main.class.getName(), "router", "--config=" + file));
        command.addAll(options);
        return command;
    }

    private static String toml(PlatformSettings settings) {
        return """
        Node = "n1"
        Zone = "a"
        Ip = "%s"
        InternalPorts = [%d, %d]
        [Listen]
        Front = "%s"
        ReadinessAddress = "%s"
        [Bounds]
        GraceS = 8
        DrainMs = 2000
        BudgetRatio = 0.2
        BudgetWindowS = 10
        BudgetSlack = 100
        [Platform]
        Address = "%s"
        """
                .formatted(
                        settings.front().host(),
                        settings.metrics().port(),
                        settings.metrics().port() + 1,
                        settings.front(),
                        settings.readiness(),
                        settings.store());
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Describes how the process is or how it ended. */
    String state() {
        String state =
                alive()
                        ? "running, %,d KB, %d descriptors"
                                .formatted(residentBytes() / BYTES_PER_KB, descriptors())
                        : "ended with " + process.exitValue();
        return state + ": " + lastOutput();
    }

    private String lastOutput() {
        try {
            List<String> lines = Files.readAllLines(output);
            return String.join(" | ", lines.subList(Math.max(0, lines.size() - 2), lines.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the resident memory, 0 if the process has ended. */
    long residentBytes() {
        try (Stream<String> lines = Files.lines(proc("status"))) {
            return lines.filter(l -> l.startsWith("VmRSS:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) * BYTES_PER_KB)
                    .findFirst()
                    .orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /** Returns the number of open descriptors, 0 if the process has ended. */
    int descriptors() {
        try (Stream<Path> open = Files.list(proc("fd"))) {
            return (int) open.count();
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /** Returns the number of open sockets and pipes, 0 if the process has ended. */
    int sockets() {
        try (Stream<Path> open = Files.list(proc("fd"))) {
            return (int) open.filter(RouterProcess::isSocketOrPipe).count();
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    private static boolean isSocketOrPipe(Path descriptor) {
        try {
            String target = Files.readSymbolicLink(descriptor).toString();
            return target.startsWith("socket:") || target.startsWith("pipe:");
        } catch (IOException e) {
            return false;
        }
    }

    private Path proc(String name) {
        return Path.of("/proc", Long.toString(process.pid()), name);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
