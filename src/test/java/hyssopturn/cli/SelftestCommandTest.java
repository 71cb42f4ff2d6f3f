package hyssopturn.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

class SelftestCommandTest {
    @Test
    void aNodeWithTheExampleSettingsServesItsStandinPlatform() {
        assertThat(
                Program.run("selftest", "--config=examples/platform.toml"), equalTo(ExitCodes.OK));
    }

    @Test
    void wrongSettingsEndItBeforeAnythingStarts() throws IOException {
        Path file = Files.createTempFile("hyssopturn", ".toml");
        Files.writeString(file, "Node = \"n1\"\n");
        assertThat(Program.run("selftest", "--config=" + file), equalTo(ExitCodes.USAGE));
    }
}
