package hyssopturn.cli;

import hyssopturn.filter.Credentials;
import hyssopturn.model.AccountId;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.util.List;
import java.util.concurrent.Callable;

/** Prints the bearer token of an account. */
@Command(
        name = "token",
        mixinStandardHelpOptions = true,
        description = "Prints the bearer token of an account.")
final class TokenCommand implements Callable<Integer> {
    private static final List<Setting<?>> SETTINGS = List.of(Options.ACCOUNT_SECRET);

    @Parameters(paramLabel = "ACCOUNT", description = "the account")
    private String account;

    private CommandSpec spec;

    @Spec
    void spec(CommandSpec value) {
        spec = value;
        Settings.declare(value, SETTINGS);
    }

    @Override
    public Integer call() {
        Settings settings = Settings.read(spec, SETTINGS);
        Credentials credentials = new Credentials(settings.get(Options.ACCOUNT_SECRET));
        spec.commandLine().getOut().println(credentials.token(new AccountId(account)));
        return ExitCodes.OK;
    }
}
