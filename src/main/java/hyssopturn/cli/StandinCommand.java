package hyssopturn.cli;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.standin.EngineProfile;
import hyssopturn.standin.StandinHost;

import io.vertx.core.Vertx;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Runs one small stand-in, for trials and tests. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs a small stand-in of the platform, an engine or a service.")
final class StandinCommand {
    private static final Setting<String> MODEL =
            new Setting<>("model", new Kind.Name(), "atelier", "Model that the engine holds");
    private static final Setting<String> VERSION =
            new Setting<>("model-version", new Kind.Name(), "1", "Version of the model");
    private static final Setting<Integer> FROM =
            new Setting<>("from", new Kind.Whole(0, 1_000), "0", "First layer held");
    private static final Setting<Integer> TO =
            new Setting<>("to", new Kind.Whole(1, 1_000), "4", "Layer after the last one held");
    private static final Setting<Integer> LAYERS =
            new Setting<>("layers", new Kind.Whole(1, 1_000), "12", "Layers of the whole model");
    private static final Setting<String> SERVICE =
            new Setting<>("service", new Kind.Name(), "dispatch", "Name of the service");

    private StandinCommand() {}

    /** Creates the command with its subcommands. */
    static picocli.CommandLine create() {
        return new picocli.CommandLine(new StandinCommand())
                .addSubcommand(new PlatformCommand())
                .addSubcommand(new EngineCommand())
                .addSubcommand(new ServiceCommand());
    }

    private static int serve(CommandSpec spec, Address at) throws InterruptedException {
        spec.commandLine().getOut().println("listening on " + at);
        spec.commandLine().getOut().flush();
        new CountDownLatch(1).await();
        return ExitCodes.OK;
    }

    @Command(
            name = "platform",
            mixinStandardHelpOptions = true,
            description = "Log service, instance list and weight store.")
    static final class PlatformCommand implements java.util.concurrent.Callable<Integer> {
        private static final List<Setting<?>> SETTINGS = List.of(Options.HOST, Options.PORT);
        private CommandSpec spec;

        @Spec
        void spec(CommandSpec value) {
            spec = value;
            Settings.declare(value, SETTINGS);
        }

        @Override
        public Integer call() throws InterruptedException {
            Settings settings = Settings.read(spec, SETTINGS);
            StandinHost host = new StandinHost(Vertx.vertx());
            return serve(
                    spec, host.platform(settings.get(Options.HOST), settings.get(Options.PORT)));
        }
    }

    @Command(
            name = "engine",
            mixinStandardHelpOptions = true,
            description = "Model engine that holds a range of layers.")
    static final class EngineCommand implements java.util.concurrent.Callable<Integer> {
        private static final List<Setting<?>> SETTINGS =
                List.of(
                        Options.ID,
                        Options.ZONE,
                        Options.HOST,
                        Options.PORT,
                        Options.PLATFORM,
                        MODEL,
                        VERSION,
                        FROM,
                        TO,
                        LAYERS);
        private CommandSpec spec;

        @Spec
        void spec(CommandSpec value) {
            spec = value;
            Settings.declare(value, SETTINGS);
        }

        @Override
        public Integer call() throws InterruptedException {
            Settings settings = Settings.read(spec, SETTINGS);
            StandinHost host = new StandinHost(Vertx.vertx());
            host.announceTo(settings.get(Options.PLATFORM));
            Address at =
                    host.engine(
                            settings.get(Options.ID),
                            settings.get(Options.ZONE),
                            settings.get(Options.HOST),
                            settings.get(Options.PORT),
                            EngineProfile.quick(),
                            new ModelId(settings.get(MODEL), settings.get(VERSION)),
                            new LayerRange(settings.get(FROM), settings.get(TO)),
                            settings.get(LAYERS));
            return serve(spec, at);
        }
    }

    @Command(
            name = "service",
            mixinStandardHelpOptions = true,
            description = "Plain service that records calls.")
    static final class ServiceCommand implements java.util.concurrent.Callable<Integer> {
        private static final List<Setting<?>> SETTINGS =
                List.of(
                        Options.ID,
                        Options.ZONE,
                        Options.HOST,
                        Options.PORT,
                        Options.PLATFORM,
                        SERVICE);
        private CommandSpec spec;

        @Spec
        void spec(CommandSpec value) {
            spec = value;
            Settings.declare(value, SETTINGS);
        }

        @Override
        public Integer call() throws InterruptedException {
            Settings settings = Settings.read(spec, SETTINGS);
            StandinHost host = new StandinHost(Vertx.vertx());
            host.announceTo(settings.get(Options.PLATFORM));
            Address at =
                    host.service(
                            settings.get(Options.ID),
                            settings.get(Options.ZONE),
                            settings.get(Options.HOST),
                            settings.get(Options.PORT),
                            settings.get(SERVICE));
            return serve(spec, at);
        }
    }
}
