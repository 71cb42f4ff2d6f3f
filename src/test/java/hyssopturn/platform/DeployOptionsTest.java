package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The options of the deploy file suit machines of any size that the deployments have. */
class DeployOptionsTest {
    private static final int DESCRIPTORS = 2_069;
    private static final long MEGABYTE = 1L << 20;

    /** Memory of the JVM besides heap and direct memory: code, classes, stacks, collector. */
    private static final int JVM_MB = 96;

    @ParameterizedTest
    @ValueSource(ints = {282, 330, 430, 682})
    void heapAndDirectMemoryFitTheMachine(int memoryMb) throws IOException {
        List<String> flags = flags(RouterMachine.deployed(memoryMb, DESCRIPTORS).options());
        long heap = flag(flags, "MaxHeapSize");
        long direct = flag(flags, "MaxDirectMemorySize");
        long all = heap + (direct == 0 ? heap : direct) + JVM_MB * MEGABYTE;
        assertThat(all, lessThanOrEqualTo(memoryMb * MEGABYTE));
    }

    private static List<String> flags(List<String> options) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-XX:+PrintFlagsFinal", "-version"));
        Process process =
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8)) {
            return output.readAllLines();
        }
    }

    private static long flag(List<String> flags, String name) {
        return flags.stream()
                .map(line -> line.strip().split("\\s+"))
                .filter(words -> words.length > 3 && words[1].equals(name))
                .mapToLong(words -> Long.parseLong(words[3]))
                .findFirst()
                .orElseThrow();
    }
}
