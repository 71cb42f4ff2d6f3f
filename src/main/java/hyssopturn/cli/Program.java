package hyssopturn.cli;

import hyssopturn.config.ConfigInvalidException;
import hyssopturn.helper.InvalidArgumentException;

import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;

import java.io.PrintWriter;

/** The {@code hyssopturn} command. */
@Command(
        name = "hyssopturn",
        mixinStandardHelpOptions = true,
        version = "hyssopturn 0.1.0",
        description = "Router for model pipelines over one pool of mixed accelerators.",
        synopsisSubcommandLabel = "COMMAND",
        footer = {
            "",
            "Exit codes: 0 done, 1 failed, 2 wrong usage, setting or document, 3 not known"
                    + " whether it took effect, 69 no Java 25.",
            "Every option is also an environment variable HYSSOPTURN_..."
        })
public final class Program {
    private static final String LOG_LINE = "%1$tFT%1$tT.%1$tL%1$tz %4$s %5$s%6$s%n";

    private Program() {}

    /**
     * Runs a command line.
     *
     * @param args its words
     * @return exit code
     */
    public static int run(String... args) {
        System.setProperty("java.util.logging.SimpleFormatter.format", LOG_LINE);
        CommandLine line =
                new CommandLine(new Program())
                        .addSubcommand(new NodeCommand())
                        .addSubcommand(new RouterCommand())
                        .addSubcommand(new ExplainCommand())
                        .addSubcommand(new TryCommand())
                        .addSubcommand(new StatusCommand())
                        .addSubcommand(new TimelineCommand())
                        .addSubcommand(new TokenCommand())
                        .addSubcommand(
                                new CommandLine(new BenchCommand())
                                        .addSubcommand(new SlopesCommand()))
                        .addSubcommand("config", ConfigCommand.create())
                        .addSubcommand("standin", StandinCommand.create())
                        .addSubcommand("generate-completion", new GenerateCompletion());
        line.setExecutionExceptionHandler((e, command, parsed) -> failed(e, command));
        return line.execute(args);
    }

    private static int failed(Exception error, CommandLine command) {
        PrintWriter err = command.getErr();
        switch (error) {
            case SettingsException wrong -> wrong.problems().forEach(err::println);
            case InvalidArgumentException wrong -> err.println(wrong.getMessage());
            case ConfigInvalidException wrong -> wrong.problems().forEach(err::println);
            default -> {
                err.println(error);
                return ExitCodes.FAILED;
            }
        }
        return ExitCodes.USAGE;
    }
}
