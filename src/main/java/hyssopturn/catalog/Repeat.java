package hyssopturn.catalog;

/** What may be sent again after it may have run. */
public enum Repeat {
    /** The request may run at most once. */
    NEVER,
    /** The request may run any number of times. */
    ALWAYS,
    /** A stream that another endpoint may continue after the last event that was delivered. */
    RESUME;

    /**
     * Tells whether a request may be offered again after it may have run.
     *
     * @return true unless it must run at most once
     */
    public boolean allowed() {
        return this != NEVER;
    }
}
