package hyssopturn.overload;

import hyssopturn.catalog.Priorities;

/** A stream that asks for admission, and its state at the admission control. */
public final class Ticket {
    private final String account;
    private final int priority;
    private final double tokens;
    private final long arrivedNanos;
    private final long targetNanos;
    private boolean asked;
    private boolean started;
    private boolean judged;
    private long startedNanos;
    private long nextTryNanos;
    private double startTag;
    private long number;

    /**
     * Creates a ticket.
     *
     * @param account name of the client account, empty if there is none
     * @param priority priority from 0, the most urgent, to 9
     * @param tokens tokens that the stream may hold at each engine
     * @param arrivedNanos time of its arrival
     * @param targetNanos target time to its first event
     */
    public Ticket(
            String account, int priority, double tokens, long arrivedNanos, long targetNanos) {
        this.account = account;
        this.priority = Math.clamp(priority, Priorities.MOST_URGENT, Priorities.LEAST_URGENT);
        this.tokens = Math.max(1, tokens);
        this.arrivedNanos = arrivedNanos;
        this.targetNanos = targetNanos;
    }

    String account() {
        return account;
    }

    int priority() {
        return priority;
    }

    double tokens() {
        return tokens;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long targetNanos() {
        return targetNanos;
    }

    /** Marks that the stream has asked; returns false if it had before. */
    boolean ask() {
        boolean first = !asked;
        asked = true;
        return first;
    }

    /**
     * Returns whether the stream was started and has not ended.
     *
     * @return true from its first attempt to its end
     */
    public boolean started() {
        return started;
    }

    void start(long nowNanos) {
        started = true;
        startedNanos = nowNanos;
    }

    void end() {
        started = false;
        judged = true;
    }

    long startedNanos() {
        return startedNanos;
    }

    /** Marks that the time to the first event was judged; returns false if it had been before. */
    boolean judge() {
        boolean first = !judged;
        judged = true;
        return first;
    }

    double startTag() {
        return startTag;
    }

    void startTag(double tag) {
        startTag = tag;
    }

    /** Returns the number by which streams that are alike otherwise are ordered. */
    long number() {
        return number;
    }

    void number(long value) {
        number = value;
    }

    /** Returns whether engines may be searched for again, after none was found. */
    boolean mayTry(long nowNanos) {
        return nowNanos >= nextTryNanos;
    }

    void tryAgainAt(long nanos) {
        nextTryNanos = nanos;
    }
}
