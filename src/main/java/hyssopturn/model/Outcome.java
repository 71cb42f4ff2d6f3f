package hyssopturn.model;

/** How a request ended; every request ends in exactly one. */
public enum Outcome {
    /** It ran and its answer is complete. */
    DONE("done"),
    /** It certainly did not run and never will; repeating it is safe. */
    NOT_RUN("not-run"),
    /** It ran and failed. */
    FAILED("failed"),
    /** It may have run; check for its effects before repeating it. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Returns the label that callers see.
     *
     * @return label in lower case
     */
    public String label() {
        return label;
    }
}
