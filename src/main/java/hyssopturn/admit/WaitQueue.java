package hyssopturn.admit;

import java.util.Optional;

/** Requests that wait, in some order; a request's keys must not change while it is in. */
interface WaitQueue {
    /** Adds a request that is not in. */
    void add(Ticket ticket);

    /** Takes a request out; false if it was not in. */
    boolean remove(Ticket ticket);

    /**
     * Finds the request to start next and leaves it in; empty if none may start now.
     *
     * @param supply what is known of the slots that will come free
     */
    Optional<Ticket> next(Supply supply);

    /** Finds the request whose latest start time comes first. */
    Optional<Ticket> mostUrgent();

    /** Notes that a request which was taken out starts. */
    default void started(Ticket ticket, long nowNanos) {}

    /** Notes that a request was refused because no slot came free in time. */
    default void refused(Ticket ticket, long nowNanos) {}

    /** Notes the end of a request, also of one that never started. */
    default void ended(Ticket ticket, boolean met, long nowNanos) {}

    /** Tells whether an account may add another request to a queue of some capacity. */
    boolean accepts(Ticket ticket, int capacity);

    /** Counts those that wait. */
    int size();

    /**
     * Slots that come free.
     *
     * @param nowNanos time now
     * @param free slots free now
     * @param reserve slots kept free of accounts that have had more than their share
     * @param perSecond slots that come free a second, infinite if unknown
     */
    record Supply(long nowNanos, int free, int reserve, double perSecond) {}
}
