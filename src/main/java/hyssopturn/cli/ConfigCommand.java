package hyssopturn.cli;

import hyssopturn.config.ConfigController;
import hyssopturn.config.ConfigDocument;
import hyssopturn.config.ConfigFold;
import hyssopturn.config.ConfigInvalidException;
import hyssopturn.config.ConfigRecord;
import hyssopturn.model.Config;
import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;
import hyssopturn.wire.HttpCaller;
import hyssopturn.wire.HttpPlatform;

import io.vertx.core.Vertx;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;

/** Checks, publishes and shows configurations. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Checks, publishes and shows configurations.")
final class ConfigCommand {
    private static final List<Setting<?>> SETTINGS =
            List.of(Options.PLATFORM, Options.CONNECT_TIMEOUT, Options.LOG_TIMEOUT);
    private static final int PAGE = 1_000;

    private ConfigCommand() {}

    /** Creates the command with its subcommands. */
    static CommandLine create() {
        return new CommandLine(new ConfigCommand())
                .addSubcommand(new Check())
                .addSubcommand(new Publish());
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Checks a document without publishing it.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the document")
        private Path file;

        @Spec private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            try {
                ConfigDocument.parse(Files.readString(file), 0);
            } catch (ConfigInvalidException e) {
                e.problems().forEach(p -> out.println(file + ": " + p));
                return ExitCodes.USAGE;
            }
            out.println(file + ": ok");
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "publish",
            mixinStandardHelpOptions = true,
            description = "Publishes a document over the one in force.")
    static final class Publish implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the document")
        private Path file;

        private CommandSpec spec;

        @Spec
        void spec(CommandSpec value) {
            spec = value;
            Settings.declare(value, SETTINGS);
        }

        @Override
        public Integer call() throws IOException {
            Settings settings = Settings.read(spec, SETTINGS);
            String text = Files.readString(file);
            ConfigDocument.parse(text, 0);
            Vertx vertx = Vertx.vertx();
            Duration timeout = settings.get(Options.LOG_TIMEOUT);
            try (HttpCaller caller =
                    new HttpCaller(vertx, settings.get(Options.CONNECT_TIMEOUT), timeout)) {
                LogService log = new HttpPlatform(caller, settings.get(Options.PLATFORM), timeout);
                return publish(log, text);
            } finally {
                vertx.close().await();
            }
        }

        private int publish(LogService log, String text) {
            PrintWriter out = spec.commandLine().getOut();
            Config base = current(log);
            String publication = UUID.randomUUID().toString();
            ConfigRecord record = new ConfigRecord(publication, base.version(), text);
            long offset = log.append(ConfigController.STREAM, record.encode()).join();
            Config after = current(log);
            if (after.version() == offset) {
                out.println("accepted as version " + offset);
                return ExitCodes.OK;
            }
            out.println("rejected: version " + after.version() + " came first");
            return ExitCodes.FAILED;
        }

        private static Config current(LogService log) {
            Config config = Config.EMPTY;
            long next = 1;
            LogPage page;
            do {
                page = log.read(ConfigController.STREAM, next, PAGE, Duration.ZERO).join();
                for (LogPage.Entry entry : page.records()) {
                    config = ConfigFold.apply(config, entry);
                }
                next = page.next();
            } while (page.next() < page.end());
            return config;
        }
    }
}
