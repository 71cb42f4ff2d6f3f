package hyssopturn.cli;

import hyssopturn.node.CallerBudget;
import hyssopturn.node.RelayNode;
import hyssopturn.node.RelayNodeSettings;
import hyssopturn.platform.PlatformSettings;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs one node on the users' platform until it is told to stop. */
@Command(
        name = "router",
        mixinStandardHelpOptions = true,
        description = "Runs one node on the users' platform.",
        footer = {"", "Example:", "  hyssopturn router --config=node.toml"})
final class RouterCommand implements Callable<Integer> {
    /** Time for which callers with open connections are still answered after SIGTERM. */
    private static final Duration DRAIN_LEAST = Duration.ofSeconds(3);

    /** Part of the grace period that is left for ending the process. */
    private static final Duration EXIT_TIME = Duration.ofMillis(500);

    /** Extra time for a drain to report its end, in case the event loop of the node is late. */
    private static final Duration DRAIN_MARGIN = Duration.ofMillis(200);

    private CommandSpec spec;

    @Spec
    void spec(CommandSpec value) {
        spec = value;
        Settings.declare(value, RouterOptions.ALL);
    }

    @Override
    public Integer call() throws InterruptedException {
        Settings settings = Settings.read(spec, RouterOptions.ALL);
        Path file = Path.of(settings.get(RouterOptions.CONFIG));
        PlatformSettings platform = PlatformSettings.read(file);
        RelayNode node =
                new RelayNode(
                        vertx(), platform, own(settings), new FileOutputStream(FileDescriptor.out));
        node.redirectLibraryLogs();
        node.exitWhenOutOfMemory(System.out);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(Thread.ofPlatform().unstarted(() -> stop(node, platform)));
        HangUp.handle(
                new SettingsReload(platform, () -> PlatformSettings.read(file), node::reloaded));
        node.start();
        stopped.await();
        return ExitCodes.OK;
    }

    static Vertx vertx() {
        return Vertx.vertx(
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setBlockedThreadCheckInterval(TimeUnit.HOURS.toMillis(1))
                        .setFileSystemOptions(
                                new FileSystemOptions()
                                        .setFileCachingEnabled(false)
                                        .setClassPathResolvingEnabled(false)));
    }

    private static void stop(RelayNode node, PlatformSettings platform) {
        Duration most = platform.grace().minus(EXIT_TIME);
        node.drain(DRAIN_LEAST, most)
                .completeOnTimeout(null, most.plus(DRAIN_MARGIN).toMillis(), TimeUnit.MILLISECONDS)
                .join();
        node.close();
    }

    static RelayNodeSettings own(Settings settings) {
        return new RelayNodeSettings(
                settings.get(RouterOptions.CONNECT_TIMEOUT),
                settings.get(RouterOptions.FIRST_EVENT_CHECK),
                settings.get(RouterOptions.GAP_CHECK),
                settings.get(RouterOptions.FIRST_EVENT_STALL),
                settings.get(RouterOptions.GAP_STALL),
                settings.get(RouterOptions.RETRY_AFTER),
                settings.get(RouterOptions.NODES),
                settings.get(RouterOptions.LOG_LINES),
                settings.get(RouterOptions.ADMISSION),
                settings.get(RouterOptions.ZONE_CHOICE),
                settings.get(RouterOptions.LOAD_NODES),
                new CallerBudget(
                        settings.get(RouterOptions.CALLER_MEMORY),
                        settings.get(RouterOptions.CALLER_CONNECTIONS),
                        settings.get(RouterOptions.CALLER_UNREAD_MB)));
    }
}
