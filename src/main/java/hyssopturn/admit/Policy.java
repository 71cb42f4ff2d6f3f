package hyssopturn.admit;

/** Order in which waiting requests start. */
public enum Policy {
    /** Everything starts at once; no queue and no limit. */
    OPEN,
    /** In order of arrival, whatever the deadline. */
    FIFO,
    /** In order of the deadline, also when it has passed. */
    DEADLINE,
    /** In order of the latest start time; work that would be late is refused. */
    FEASIBLE,
    /** Cheapest first; work that would be late is refused. */
    GOODPUT,
    /** Latest start time while all can be met, else shared evenly over classes and accounts. */
    FAIR;

    boolean refusesLate() {
        return this == FEASIBLE || this == GOODPUT || this == FAIR;
    }
}
