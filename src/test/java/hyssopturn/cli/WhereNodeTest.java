package hyssopturn.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import hyssopturn.model.Address;
import hyssopturn.node.CallerBudget;
import hyssopturn.node.RelayNode;
import hyssopturn.node.RelayNodeSettings;
import hyssopturn.platform.PlatformSettings;
import hyssopturn.platform.StandinPlatform;

import io.vertx.core.Vertx;

import org.junit.jupiter.api.Test;

import picocli.CommandLine;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Guards against a command that a running node does not understand, and against keys in it. */
class WhereNodeTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private static Address freeAddress() throws IOException {
        InetAddress host = InetAddress.getLoopbackAddress();
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new Address(host.getHostAddress(), socket.getLocalPort());
        }
    }

    private static RelayNodeSettings settings() {
        Duration check = Duration.ofMillis(500);
        return new RelayNodeSettings(
                check,
                check,
                check,
                check,
                check,
                check,
                1,
                100,
                true,
                true,
                3,
                new CallerBudget(25, 0, 0));
    }

    private int ask(Address metrics, String path, String account, String... more) {
        CommandLine line = new CommandLine(new WhereCommand());
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        List<String> args =
                new ArrayList<>(
                        List.of(
                                "--node=" + metrics,
                                "--host=selftest.example",
                                "--path=" + path,
                                "--account=" + account));
        args.addAll(List.of(more));
        return line.execute(args.toArray(String[]::new));
    }

    private void awaitStart(Address metrics) throws InterruptedException {
        long end = System.nanoTime() + StandinPlatform.startupTimeout().toNanos();
        while (System.nanoTime() < end && !out.toString().contains("start at")) {
            ask(metrics, "/look/a", "selftest");
            Thread.sleep(50);
        }
    }

    @Test
    void aNodeExplainsWhereARequestThenGoes() throws IOException, InterruptedException {
        Vertx vertx = RouterCommand.vertx();
        StandinPlatform platform = StandinPlatform.start(vertx).await();
        Address front = freeAddress();
        Address metrics = freeAddress();
        PlatformSettings own =
                platform.settings(
                        PlatformSettings.read(Path.of("examples/platform.toml")),
                        front,
                        freeAddress(),
                        metrics,
                        freeAddress());
        RelayNode node = new RelayNode(vertx, own, settings(), OutputStream.nullOutputStream());
        node.start();
        awaitStart(metrics);
        assertThat(out.toString(), containsString("start at plain-1"));
        assertThat(platform.call(front, "/look/a").await().body(), equalTo("found"));
        assertThat(ask(metrics, "/look/a", "selftest", "--json"), equalTo(ExitCodes.OK));
        assertThat(out.toString(), not(containsString("selftest-key")));
        assertThat(ask(metrics, "/none/a", "selftest"), equalTo(ExitCodes.FAILED));
        assertThat(err.toString(), containsString("no route for host selftest.example"));
        assertThat(ask(metrics, "/look/a", "selftest", "--prompt=-1"), equalTo(ExitCodes.FAILED));
        assertThat(err.toString(), containsString("numbers of at least 0"));
        node.close();
        vertx.close().await();
    }
}
