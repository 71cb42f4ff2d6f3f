package hyssopturn.model;

/** How a request ended; every request ends in exactly one. */
public enum Outcome {
    /** It ran and its answer is whole. */
    DONE("done"),
    /** It certainly did not run and never will; repeating it is safe. */
    NOT_RUN("not-run"),
    /** It ran and failed. */
    FAILED("failed"),
    /** It may have run; it must not be repeated without looking. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Returns the form that callers see.
     *
     * @return lower-case label
     */
    public String label() {
        return label;
    }
}
