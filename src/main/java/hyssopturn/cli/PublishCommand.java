package hyssopturn.cli;

import hyssopturn.config.Published;
import hyssopturn.config.Publisher;
import hyssopturn.config.Seal;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.node.SystemClock;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.Instance;
import hyssopturn.wire.HttpCaller;
import hyssopturn.wire.HttpPlatform;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

/** Publishes a document over the one in force, and returns once its fate is known. */
@Command(
        name = "publish",
        mixinStandardHelpOptions = true,
        description = "Publishes a document; returns once it is accepted, rejected or not known.",
        footer = {
            "",
            "Example:",
            "  hyssopturn config publish --wait --platform=10.0.0.5:7070 workshop.yaml",
            "Exit codes: 0 accepted, 1 rejected or not sent, 2 document or setting wrong, 3 not"
                    + " known."
        })
final class PublishCommand implements Callable<Integer> {
    private static final Setting<OptionalLong> BASE =
            new Setting<>(
                    "base",
                    new Kind.BaseVersion(),
                    "current",
                    "Version that the document was edited from");
    private static final Setting<Duration> PUBLISH_TIMEOUT =
            new Setting<>(
                    "publish-timeout",
                    new Kind.Span(Duration.ofMillis(100), Duration.ofHours(1)),
                    "30s",
                    "Greatest time to find out the fate, and again to wait for all nodes");
    private static final List<Setting<?>> SETTINGS = settings();
    private static final Duration WAIT_PAUSE = Duration.ofMillis(20);
    private static final JsonObject NO_BODY = new JsonObject();
    private static final int TIMERS = 1;
    private static final double NANOS_PER_MILLI = 1e6;

    @Parameters(paramLabel = "FILE", description = "the document")
    private Path file;

    @Option(
            names = "--wait",
            defaultValue = "${env:HYSSOPTURN_WAIT:-false}",
            description = {
                "Wait until all nodes of the instance list run it, and print the time.",
                "Variable: HYSSOPTURN_WAIT"
            })
    private boolean wait;

    private CommandSpec spec;

    private static List<Setting<?>> settings() {
        List<Setting<?>> all = new ArrayList<>(ConfigCommand.SETTINGS);
        all.add(BASE);
        all.add(PUBLISH_TIMEOUT);
        return List.copyOf(all);
    }

    @Spec
    void spec(CommandSpec value) {
        spec = value;
        Settings.declare(value, SETTINGS);
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Settings settings = Settings.read(spec, SETTINGS);
        String text = Files.readString(file);
        Duration timeout = settings.get(Options.LOG_TIMEOUT);
        Vertx vertx = Vertx.vertx();
        try (SystemClock clock = new SystemClock(TIMERS);
                HttpCaller caller =
                        new HttpCaller(vertx, settings.get(Options.CONNECT_TIMEOUT), timeout)) {
            HttpPlatform platform =
                    new HttpPlatform(caller, settings.get(Options.PLATFORM), timeout);
            String publication = UUID.randomUUID().toString();
            long start = clock.nanos();
            Published published = publish(settings, platform, clock, publication, text);
            int code = report(published);
            if (wait && published instanceof Published.Accepted accepted) {
                Duration limit = settings.get(PUBLISH_TIMEOUT);
                return awaitAll(caller, platform, accepted.version(), start, limit);
            }
            return code;
        } finally {
            vertx.close().await();
        }
    }

    private static Published publish(
            Settings settings,
            HttpPlatform platform,
            SystemClock clock,
            String publication,
            String text) {
        CompletableFuture<Published> fate =
                Publisher.publish(
                        platform,
                        clock,
                        new Seal(settings.get(Options.PEER_SECRET)),
                        publication,
                        text,
                        settings.get(BASE),
                        settings.get(PUBLISH_TIMEOUT));
        try {
            return fate.join();
        } catch (java.util.concurrent.CompletionException e) {
            if (e.getCause() instanceof RuntimeException wrong) {
                throw wrong;
            }
            throw e;
        }
    }

    private int report(Published published) {
        PrintWriter out = spec.commandLine().getOut();
        switch (published) {
            case Published.Accepted accepted -> {
                out.println("accepted as version " + accepted.version());
                return ExitCodes.OK;
            }
            case Published.Rejected rejected ->
                    out.println(
                            "rejected: "
                                    + rejected.verdict().label()
                                    + ConfigCommand.detail(rejected.verdict()));
            case Published.NotSent notSent -> out.println("not sent: " + notSent.cause());
            case Published.Unknown unknown -> {
                out.println(
                        "unknown: publication=%s %s"
                                .formatted(unknown.publication(), unknown.cause()));
                out.println("find out: hyssopturn config history | grep " + unknown.publication());
                return ExitCodes.UNKNOWN;
            }
        }
        return ExitCodes.FAILED;
    }

    private int awaitAll(
            HttpCaller caller, HttpPlatform platform, long version, long start, Duration limit)
            throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Map<InstanceId, Long> missing = new TreeMap<>();
        int nodes = 0;
        long end = System.nanoTime() + limit.toNanos();
        do {
            List<Instance> listed = nodes(platform);
            missing.clear();
            missing.putAll(behind(caller, listed, version));
            nodes = listed.size();
            if (missing.isEmpty() && nodes > 0) {
                out.println(
                        "in force at all %d nodes after %.1f ms"
                                .formatted(nodes, (System.nanoTime() - start) / NANOS_PER_MILLI));
                return ExitCodes.OK;
            }
            Thread.sleep(WAIT_PAUSE);
        } while (System.nanoTime() - end < 0);
        out.println("accepted, but not seen in force at " + (nodes == 0 ? "any node" : missing));
        return ExitCodes.UNKNOWN;
    }

    private static List<Instance> nodes(HttpPlatform platform) {
        return platform.list().exceptionally(error -> List.of()).join().stream()
                .filter(i -> i.role() instanceof Instance.Role.Node)
                .toList();
    }

    private static Map<InstanceId, Long> behind(
            HttpCaller caller, List<Instance> nodes, long version) {
        Map<InstanceId, CompletableFuture<Long>> asked = new TreeMap<>();
        nodes.forEach(node -> asked.put(node.id(), version(caller, node.address())));
        Map<InstanceId, Long> behind = new TreeMap<>();
        asked.forEach(
                (id, answer) -> {
                    long seen = answer.join();
                    if (seen < version) {
                        behind.put(id, seen);
                    }
                });
        return behind;
    }

    private static CompletableFuture<Long> version(HttpCaller caller, Address node) {
        return caller.json(HttpMethod.GET, node, "/v1/status", NO_BODY, Dial.POOLED)
                .thenApply(status -> status.getLong("config"))
                .exceptionally(error -> -1L);
    }
}
