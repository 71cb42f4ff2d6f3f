package hyssopturn;

import hyssopturn.cli.Program;

/** Entry point of the {@code hyssopturn} program. */
public final class Main {
    private Main() {}

    /**
     * Runs the program.
     *
     * @param args command line
     */
    public static void main(String[] args) {
        System.exit(Program.run(args));
    }
}
