package hyssopturn.cli;

import hyssopturn.config.ConfigInvalidException;
import hyssopturn.helper.InvalidArgumentException;

import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;

import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

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
        CommandLine line = new CommandLine(new Program());
        Map<String, Supplier<?>> commands = commands();
        if (args.length > 0 && commands.containsKey(args[0])) {
            // reading the others' options would take a good part of a node's time to start
            commands.keySet().retainAll(Set.of(args[0]));
        }
        commands.forEach((name, command) -> line.addSubcommand(name, command.get()));
        line.setExecutionExceptionHandler((e, command, parsed) -> failed(e, command));
        return line.execute(args);
    }

    private static Map<String, Supplier<?>> commands() {
        Map<String, Supplier<?>> commands = new LinkedHashMap<>();
        commands.put("node", NodeCommand::new);
        commands.put("router", RouterCommand::new);
        commands.put("selftest", SelftestCommand::new);
        commands.put("explain", ExplainCommand::new);
        commands.put("where", WhereCommand::new);
        commands.put("try", TryCommand::new);
        commands.put("status", StatusCommand::new);
        commands.put("timeline", TimelineCommand::new);
        commands.put("token", TokenCommand::new);
        commands.put(
                "bench",
                () -> new CommandLine(new BenchCommand()).addSubcommand(new SlopesCommand()));
        commands.put("config", ConfigCommand::create);
        commands.put("standin", StandinCommand::create);
        commands.put("generate-completion", GenerateCompletion::new);
        return commands;
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
