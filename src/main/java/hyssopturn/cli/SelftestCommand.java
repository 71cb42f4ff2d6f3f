package hyssopturn.cli;

import hyssopturn.model.Address;
import hyssopturn.node.RelayNode;
import hyssopturn.platform.PlatformSettings;
import hyssopturn.platform.StandinPlatform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Function;

/** Runs a node against a stand-in of the platform in this process and sends it requests. */
@Command(
        name = "selftest",
        mixinStandardHelpOptions = true,
        description = {
            "Checks the settings, runs a node against a stand-in of the platform in this process,",
            "and sends it a streamed request, a plain one, and one without a route."
        },
        footer = {"", "Example:", "  hyssopturn selftest --config=node.toml"})
final class SelftestCommand implements Callable<Integer> {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private static final List<Check> CHECKS =
            List.of(
                    new Check("/write/a", OK, StandinPlatform.events()),
                    new Check("/look/a", OK, "found"),
                    new Check("/none/a", NOT_FOUND, ""));

    private CommandSpec spec;

    @Spec
    void spec(CommandSpec value) {
        spec = value;
        Settings.declare(value, RouterOptions.ALL);
    }

    /** A request and what its answer must be. */
    record Check(String path, int status, String body) {
        boolean passedBy(StandinPlatform.Answer answer) {
            return answer.status() == status && answer.body().equals(body);
        }
    }

    @Override
    public Integer call() throws InterruptedException, IOException {
        Settings settings = Settings.read(spec, RouterOptions.ALL);
        PlatformSettings file = PlatformSettings.read(Path.of(settings.get(RouterOptions.CONFIG)));
        Vertx vertx = RouterCommand.vertx();
        StandinPlatform platform = StandinPlatform.start(vertx).await();
        Address front = freeAddress();
        PlatformSettings own =
                platform.settings(file, front, freeAddress(), freeAddress(), freeAddress());
        RelayNode node =
                new RelayNode(
                        vertx, own, RouterCommand.own(settings), OutputStream.nullOutputStream());
        node.start();
        boolean passed = true;
        for (Check check : CHECKS) {
            passed &= check(check, path -> platform.call(front, path), spec.commandLine().getOut());
        }
        node.close();
        vertx.close().await();
        return passed ? ExitCodes.OK : ExitCodes.FAILED;
    }

    /**
     * Repeats a request until the answer is right or the node had time enough to start.
     *
     * @param check request and expected answer
     * @param caller sends a request with the given path
     * @param out destination of the result
     * @return true if the answer was right; a call that fails is repeated like a wrong answer
     */
    static boolean check(
            Check check, Function<String, Future<StandinPlatform.Answer>> caller, PrintWriter out)
            throws InterruptedException {
        long end = System.nanoTime() + StandinPlatform.startupTimeout().toNanos();
        String got = "";
        while (System.nanoTime() < end) {
            Future<StandinPlatform.Answer> answer = caller.apply(check.path);
            got = answer.map(Object::toString).otherwise(Throwable::toString).await();
            if (answer.succeeded() && check.passedBy(answer.result())) {
                out.println("passed " + check.path + ": " + check.status);
                return true;
            }
            Thread.sleep(TICK);
        }
        out.println("failed " + check.path + ": got " + got);
        return false;
    }

    private static Address freeAddress() throws IOException {
        InetAddress host = InetAddress.getLoopbackAddress();
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new Address(host.getHostAddress(), socket.getLocalPort());
        }
    }
}
