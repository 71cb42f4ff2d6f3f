package hyssopturn.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * The machine of a router process.
 *
 * @param descriptors number of descriptors that the process may open
 * @param options options of the JVM
 * @param limits section of the settings file that names the machine's limits, may be empty
 */
record RouterMachine(int descriptors, List<String> options, String limits) {
    /** Descriptors that the platform keeps for files; sockets and pipes share the others. */
    static final int FILE_DESCRIPTORS = 200;

    private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
    private static final String CLASS_PATH = "-cp";
    private static final String CLASS_ARCHIVE = "-XX:SharedArchiveFile=";

    /** Returns a machine whose router gets the options of the deploy file. */
    static RouterMachine deployed(int memoryMb, int descriptors) throws IOException {
        String limits = "[Limits]\nMemoryMb = %d\nMaxFds = %d\n".formatted(memoryMb, descriptors);
        return new RouterMachine(descriptors, deployedOptions(), limits);
    }

    /** Returns this machine with other options of the JVM. */
    RouterMachine withOptions(List<String> others) {
        return new RouterMachine(descriptors, others, limits);
    }

    /** Returns the options of the JVM; tests run without the class archive of the deploy build. */
    private static List<String> deployedOptions() throws IOException {
        String run =
                Files.readAllLines(DEPLOY_FILE).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        return Arrays.stream(command.split(" "))
                .skip(1)
                .takeWhile(word -> !word.equals(CLASS_PATH))
                .filter(word -> !word.startsWith(CLASS_ARCHIVE))
                .toList();
    }
}
