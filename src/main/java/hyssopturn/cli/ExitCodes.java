package hyssopturn.cli;

/** Exit codes of the program. */
final class ExitCodes {
    /** It did what was asked. */
    static final int OK = 0;

    /** It tried and failed. */
    static final int FAILED = 1;

    /** The command line, a setting or a document is wrong; nothing was started. */
    static final int USAGE = 2;

    /** Whether it took effect is not known. */
    static final int UNKNOWN = 3;

    private ExitCodes() {}
}
