package hyssopturn.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import hyssopturn.platform.StandinPlatform;

import io.vertx.core.Future;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeoutException;

class SelftestCommandTest {
    @Test
    void aNodeWithTheExampleSettingsServesItsStandinPlatform() {
        assertThat(
                Program.run("selftest", "--config=examples/platform.toml"), equalTo(ExitCodes.OK));
    }

    @Test
    void callThatTimesOutIsRepeated() throws InterruptedException {
        Queue<Future<StandinPlatform.Answer>> answers =
                new ArrayDeque<>(
                        List.of(
                                Future.failedFuture(new TimeoutException("no answer")),
                                Future.succeededFuture(new StandinPlatform.Answer(200, "found"))));
        boolean passed =
                SelftestCommand.check(
                        new SelftestCommand.Check("/look/a", 200, "found"),
                        path -> answers.remove(),
                        new PrintWriter(new StringWriter()));
        assertThat(passed, equalTo(true));
    }

    @Test
    void wrongSettingsEndItBeforeAnythingStarts() throws IOException {
        Path file = Files.createTempFile("hyssopturn", ".toml");
        Files.writeString(file, "Node = \"n1\"\n");
        assertThat(Program.run("selftest", "--config=" + file), equalTo(ExitCodes.USAGE));
    }
}
