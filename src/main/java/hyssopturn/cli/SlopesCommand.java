package hyssopturn.cli;

import hyssopturn.bench.PathLatency;
import hyssopturn.bench.Slopes;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

import java.util.concurrent.Callable;

/** Measures what each role costs as it grows. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description = "Measures what each role costs at several sizes; prints a table.")
final class SlopesCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().getOut().println(PathLatency.measure());
        spec.commandLine().getOut().print(Slopes.table());
        spec.commandLine().getOut().flush();
        return ExitCodes.OK;
    }
}
