package hyssopturn.catalog;

/** Whether a request may be sent again after it may have run. */
public enum RetryPolicy {
    /** The request may run at most once. */
    NEVER,
    /** The request may run any number of times. */
    ALWAYS,
    /** The request is a stream that another endpoint may resume after the last delivered event. */
    RESUME;

    /**
     * Returns whether a request may be sent again after it may have run.
     *
     * @return true unless it must run at most once
     */
    public boolean allowsRetry() {
        return this != NEVER;
    }
}
