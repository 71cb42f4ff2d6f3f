package hyssopturn.admit;

/** Order in which waiting requests start. */
public enum Policy {
    /** All requests start at once; no queue and no limit. */
    OPEN,
    /** In order of arrival, whatever the deadline. */
    FIFO,
    /** In order of the deadline, even when it has passed. */
    DEADLINE,
    /** In order of the latest start time; requests that would be late are refused. */
    FEASIBLE,
    /** Cheapest first; requests that would be late are refused. */
    GOODPUT,
    /**
     * In order of the latest start time while all can start in time, otherwise shared evenly over
     * classes and accounts; requests that would be late are refused.
     */
    FAIR;

    boolean refusesLate() {
        return this == FEASIBLE || this == GOODPUT || this == FAIR;
    }
}
