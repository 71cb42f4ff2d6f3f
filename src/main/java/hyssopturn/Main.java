package hyssopturn;

import hyssopturn.cli.HangUp;
import hyssopturn.cli.Program;

/** Entry point of the {@code hyssopturn} program. */
public final class Main {
    /** Command that reads its settings again on SIGHUP. */
    private static final String ROUTER = "router";

    private Main() {}

    /**
     * Runs the program.
     *
     * @param args command line
     */
    public static void main(String[] args) {
        if (args.length > 0 && args[0].equals(ROUTER)) {
            // before anything else is loaded, since SIGHUP ends a process without a handler
            HangUp.install();
        }
        System.exit(Program.run(args));
    }
}
