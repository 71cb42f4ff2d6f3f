package hyssopturn.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import hyssopturn.platform.PlatformSettings;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

class SettingsReloadTest {
    private static final Path SOUND = Path.of("examples/platform.toml");

    private final List<Boolean> reloaded = new ArrayList<>();
    @TempDir private Path directory;

    private void reload(byte[] content) throws IOException {
        Path file = Files.write(directory.resolve("node.toml"), content);
        PlatformSettings inForce = PlatformSettings.read(SOUND);
        new SettingsReload(inForce, () -> PlatformSettings.read(file), reloaded::add).run();
    }

    @Test
    void aSignalWithAnUnchangedFileIsRecorded() throws IOException {
        reload(Files.readAllBytes(SOUND));
        assertThat(reloaded, contains(false));
    }

    @Test
    void aSignalWithAChangedFileIsRecorded() throws IOException {
        reload(
                Files.readString(SOUND)
                        .replace("GraceS = 8", "GraceS = 9")
                        .getBytes(StandardCharsets.UTF_8));
        assertThat(reloaded, contains(true));
    }

    @Test
    void aSignalWhileTheFileIsHalfWrittenEndsNothing() throws IOException {
        byte[] all = Files.readAllBytes(SOUND);
        String text = Files.readString(SOUND);
        int complete = text.indexOf("Address = \"127.0.0.1:18223\"");
        for (int length = 0; length < complete; length++) {
            reload(Arrays.copyOf(all, length));
        }
        assertThat(reloaded, empty());
    }

    @Test
    void aSignalWithAFileThatIsNoTextEndsNothing() throws IOException {
        reload(new byte[] {(byte) 0xC3, 0});
        reload("a = ".concat("[".repeat(100_000)).getBytes(StandardCharsets.UTF_8));
        assertThat(reloaded, equalTo(List.of()));
    }
}
