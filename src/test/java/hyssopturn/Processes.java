package hyssopturn;

import hyssopturn.model.Address;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Runs the program as processes of their own, and ends every one it started. */
final class Processes implements AutoCloseable {
    private static final String LISTENING = "listening on ";

    private final List<Process> started = new ArrayList<>();

    record Running(Process process, Address address) {}

    /** Starts a command that ends by itself; its output is read by the caller. */
    Process command(String... args) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add(Main.class.getName());
        command.addAll(Arrays.asList(args));
        Process process =
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        started.add(process);
        return process;
    }

    Running start(String... args) throws IOException {
        Process process = command(args);
        BufferedReader lines = process.inputReader();
        String line = lines.readLine();
        while (line != null && !line.startsWith(LISTENING)) {
            line = lines.readLine();
        }
        if (line == null) {
            throw new IOException("process ended: " + String.join(" ", args));
        }
        return new Running(process, Address.parse(line.substring(LISTENING.length())));
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        started.forEach(Process::destroyForcibly);
    }
}
