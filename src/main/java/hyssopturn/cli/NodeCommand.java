package hyssopturn.cli;

import hyssopturn.admit.AdmitSettings;
import hyssopturn.front.FrontLimits;
import hyssopturn.node.NodeSettings;

import io.vertx.core.Vertx;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

/** Runs one node until it is told to stop. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = "Runs one node.",
        footer = {
            "",
            "Example:",
            "  hyssopturn node --id=n1 --zone=chimaltenango/bench --platform=10.0.0.5:7070"
        })
final class NodeCommand implements Callable<Integer> {
    private CommandSpec spec;

    @Spec
    void spec(CommandSpec value) {
        spec = value;
        Settings.declare(value, Options.NODE);
    }

    @Override
    public Integer call() throws InterruptedException {
        Settings settings = Settings.read(spec, Options.NODE);
        Vertx vertx = Vertx.vertx();
        Daemon daemon = new Daemon(vertx, network(settings), nodeSettings(settings));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(Thread.ofPlatform().unstarted(() -> stop(daemon, settings)));
        spec.commandLine().getOut().println("listening on " + daemon.address());
        spec.commandLine().getOut().flush();
        stopped.await();
        return ExitCodes.OK;
    }

    private static void stop(Daemon daemon, Settings settings) {
        daemon.drain(settings.get(Options.DRAIN_TIMEOUT));
        daemon.close();
    }

    static Daemon.Network network(Settings settings) {
        return new Daemon.Network(
                settings.get(Options.ID),
                settings.get(Options.HOST),
                settings.get(Options.PORT),
                settings.get(Options.PEER_PORT),
                settings.get(Options.PLATFORM),
                settings.get(Options.CONNECT_TIMEOUT),
                settings.get(Options.LOG_TIMEOUT),
                settings.get(Options.ENGINE_TIMEOUT),
                settings.get(Options.SERVICE_TIMEOUT),
                new FrontLimits(
                        settings.get(Options.BODY_LIMIT),
                        Math.toIntExact(settings.get(Options.HEADER_LIMIT)),
                        settings.get(Options.CONNECTIONS),
                        settings.get(Options.IDLE_TIMEOUT)),
                settings.get(Options.OPERATOR_SECRET));
    }

    static NodeSettings nodeSettings(Settings settings) {
        return new NodeSettings(
                settings.get(Options.ZONE),
                settings.get(Options.ACCOUNT_SECRET),
                settings.get(Options.PEER_SECRET),
                settings.get(Options.POLL_INTERVAL),
                settings.get(Options.LOG_RETENTION),
                settings.get(Options.LEDGER_KEEP),
                settings.get(Options.LOG_APPENDS),
                settings.get(Options.ANSWER_KEEP),
                settings.get(Options.ANSWER_BYTES),
                settings.get(Options.CALLER_GRACE),
                settings.get(Options.STALL_PATIENCE),
                settings.get(Options.ACTIVATION_BYTES),
                settings.get(Options.EVENT_CAPACITY),
                new AdmitSettings(
                        settings.get(Options.ADMIT_POLICY),
                        settings.get(Options.ADMIT_LIMIT),
                        Math.min(
                                settings.get(Options.ADMIT_INITIAL_LIMIT),
                                settings.get(Options.ADMIT_MAX_LIMIT)),
                        settings.get(Options.ADMIT_MAX_LIMIT),
                        settings.get(Options.ADMIT_QUEUE)));
    }
}
