package hyssopturn.cli;

import hyssopturn.config.ConfigController;
import hyssopturn.config.ConfigRecord;
import hyssopturn.filter.Credentials;
import hyssopturn.front.FrontLimits;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.Zone;
import hyssopturn.node.NodeSettings;
import hyssopturn.standin.EngineProfile;
import hyssopturn.standin.StandinHost;
import hyssopturn.wire.HttpCaller;
import hyssopturn.wire.HttpPlatform;

import io.vertx.core.Vertx;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

/** Runs three nodes and all stand-ins in this process, and sends sample requests. */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description =
                "Runs three nodes and all stand-ins in one process, sends a sample sheet, letter,"
                        + " lookup and booking, then serves until stopped.")
final class TryCommand implements Callable<Integer> {
    private static final String HOST = "127.0.0.1";
    private static final int LAYERS = 12;
    private static final int STAGES = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration READY_LIMIT = Duration.ofSeconds(20);
    private static final Duration READY_PAUSE = Duration.ofMillis(50);
    private static final List<Zone> ZONES =
            List.of(
                    new Zone("chimaltenango", "bench"),
                    new Zone("chimaltenango", "pack"),
                    new Zone("chimaltenango", "office"));

    @Option(names = "--once", description = "end after the sample requests")
    private boolean once;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Vertx vertx = Vertx.vertx();
        try (StandinHost standins = new StandinHost(vertx)) {
            Address platform = standins.platform(HOST, 0);
            out.println("platform stand-in on " + platform);
            standins.announceTo(platform);
            startEndpoints(standins);
            List<Daemon> nodes = startNodes(vertx, platform);
            publish(vertx, platform);
            awaitReady(nodes);
            nodes.forEach(n -> out.println("node on http://" + n.address()));
            String token = new Credentials("trial-accounts").token(new AccountId("ana"));
            boolean good = new Sample(vertx, token, out).run(nodes);
            out.println("bearer token: " + token);
            out.flush();
            if (!once) {
                new CountDownLatch(1).await();
            }
            nodes.forEach(Daemon::close);
            return good ? ExitCodes.OK : ExitCodes.FAILED;
        } finally {
            vertx.close().await();
        }
    }

    private static void startEndpoints(StandinHost standins) {
        ModelId model = new ModelId("atelier", "1");
        int width = LAYERS / STAGES;
        for (int stage = 0; stage < STAGES; stage++) {
            LayerRange layers = new LayerRange(stage * width, (stage + 1) * width);
            for (int copy = 0; copy < 2; copy++) {
                standins.engine(
                        "engine-" + (char) ('a' + stage) + copy,
                        ZONES.get((stage + copy) % ZONES.size()),
                        HOST,
                        0,
                        EngineProfile.quick(),
                        model,
                        layers,
                        LAYERS);
            }
        }
        standins.service("dispatch-1", ZONES.get(0), HOST, 0, "dispatch");
        standins.service("dispatch-2", ZONES.get(1), HOST, 0, "dispatch");
        standins.service("herd-book-1", ZONES.get(2), HOST, 0, "herd-book");
    }

    private static List<Daemon> startNodes(Vertx vertx, Address platform) {
        List<Daemon> nodes = new ArrayList<>();
        for (int i = 0; i < ZONES.size(); i++) {
            Daemon.Network network =
                    new Daemon.Network(
                            "node-" + (i + 1),
                            HOST,
                            0,
                            0,
                            platform,
                            TIMEOUT,
                            TIMEOUT,
                            TIMEOUT,
                            TIMEOUT,
                            FrontLimits.SMALL,
                            Options.OPERATOR_SECRET.fallback());
            nodes.add(new Daemon(vertx, network, NodeSettings.trial(ZONES.get(i))));
        }
        return nodes;
    }

    private static void publish(Vertx vertx, Address platform) {
        try (HttpCaller caller = new HttpCaller(vertx, TIMEOUT, TIMEOUT)) {
            ConfigRecord record = new ConfigRecord.Publication("try", 0, sampleDocument());
            new HttpPlatform(caller, platform, TIMEOUT)
                    .append(ConfigController.STREAM, record.encode())
                    .join();
        }
    }

    private static String sampleDocument() {
        try (InputStream in = TryCommand.class.getResourceAsStream("/hyssopturn/try.yaml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void awaitReady(List<Daemon> nodes) throws InterruptedException {
        long limit = System.nanoTime() + READY_LIMIT.toNanos();
        while (System.nanoTime() < limit && !nodes.stream().allMatch(TryCommand::ready)) {
            Thread.sleep(READY_PAUSE);
        }
    }

    private static boolean ready(Daemon daemon) {
        return daemon.node().ready()
                && daemon.node().ledger().ready()
                && daemon.node().view().engines().size() == STAGES * 2
                && daemon.node().view().services().size() == STAGES;
    }
}
