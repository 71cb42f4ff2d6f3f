package hyssopturn.cli;

import hyssopturn.config.ConfigDocument;
import hyssopturn.config.ConfigHistory;
import hyssopturn.config.ConfigInvalidException;
import hyssopturn.config.FoldState;
import hyssopturn.config.Seal;
import hyssopturn.config.Verdict;
import hyssopturn.port.PortException;
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
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;

/** Checks, publishes and shows configurations. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Checks, publishes and shows configurations.")
final class ConfigCommand {
    static final List<Setting<?>> SETTINGS =
            List.of(
                    Options.PLATFORM,
                    Options.CONNECT_TIMEOUT,
                    Options.LOG_TIMEOUT,
                    Options.PEER_SECRET);

    private ConfigCommand() {}

    /** Creates the command with its subcommands. */
    static CommandLine create() {
        return new CommandLine(new ConfigCommand())
                .addSubcommand(new Check())
                .addSubcommand(new PublishCommand())
                .addSubcommand(new Show())
                .addSubcommand(new History());
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

    /** Reads the whole stream and hands it on. */
    abstract static class Reading implements Callable<Integer> {
        private CommandSpec spec;

        @Spec
        void spec(CommandSpec value) {
            spec = value;
            Settings.declare(value, SETTINGS);
        }

        @Override
        public Integer call() {
            Settings settings = Settings.read(spec, SETTINGS);
            Duration timeout = settings.get(Options.LOG_TIMEOUT);
            Seal seal = new Seal(settings.get(Options.PEER_SECRET));
            Vertx vertx = Vertx.vertx();
            try (HttpCaller caller =
                    new HttpCaller(vertx, settings.get(Options.CONNECT_TIMEOUT), timeout)) {
                HttpPlatform platform =
                        new HttpPlatform(caller, settings.get(Options.PLATFORM), timeout);
                ConfigHistory history = new ConfigHistory(platform, seal);
                history.readToEnd().join();
                return print(history, spec.commandLine().getOut());
            } catch (CompletionException e) {
                if (e.getCause() instanceof PortException down) {
                    spec.commandLine().getErr().println("the log cannot be read: " + down);
                    return ExitCodes.FAILED;
                }
                throw e;
            } finally {
                vertx.close().await();
            }
        }

        abstract int print(ConfigHistory history, PrintWriter out);
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints the document in force, after a comment with its version.")
    static final class Show extends Reading {
        @Override
        int print(ConfigHistory history, PrintWriter out) {
            FoldState state = history.state();
            if (!state.settled()) {
                out.println("# the log has lost the version in force; ask a node: GET /v1/status");
            }
            if (state.accepted().isEmpty()) {
                out.println("# no version is known");
                return ExitCodes.FAILED;
            }
            out.println("# version " + state.version());
            out.println(state.accepted().get().document());
            return state.settled() ? ExitCodes.OK : ExitCodes.UNKNOWN;
        }
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Lists the records that the log still keeps, and what became of each.")
    static final class History extends Reading {
        @Override
        int print(ConfigHistory history, PrintWriter out) {
            for (ConfigHistory.Line line : history.lines()) {
                out.println(
                        "%d %s publication=%s base=%d%s"
                                .formatted(
                                        line.offset(),
                                        line.verdict().label(),
                                        line.publication().isEmpty() ? "-" : line.publication(),
                                        line.base(),
                                        detail(line.verdict())));
            }
            return ExitCodes.OK;
        }
    }

    /** Tells people more about a verdict. */
    static String detail(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Superseded lost ->
                    " winner=%s version=%d".formatted(lost.winner(), lost.version());
            case Verdict.Invalid wrong -> " problems=" + wrong.problems();
            case Verdict.Skipped skipped -> " cause=" + skipped.cause();
            case Verdict.Restated restated -> " version=" + restated.version();
            case Verdict.Repeated repeated -> " version=" + repeated.version();
            case Verdict.Accepted accepted -> "";
            case Verdict.Undetermined undetermined -> "";
        };
    }
}
