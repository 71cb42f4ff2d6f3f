package hyssopturn.admit;

import java.util.Optional;

/** Queue of waiting requests; the sort keys of a request must not change while it is queued. */
interface WaitQueue {
    /** Adds a request that is not in the queue. */
    void add(Ticket ticket);

    /** Removes a request; false if it was not in the queue. */
    boolean remove(Ticket ticket);

    /**
     * Returns the request to start next without removing it; empty if none may start now.
     *
     * @param supply slots that are free and will come free
     */
    Optional<Ticket> next(Supply supply);

    /** Returns the request with the earliest latest start time without removing it. */
    Optional<Ticket> mostUrgent();

    /** Records that a removed request starts. */
    default void started(Ticket ticket, long nowNanos) {}

    /** Records that a request was refused for lack of queue space or of a slot in time. */
    default void refused(Ticket ticket, long nowNanos) {}

    /** Records the end of a request, also of one that never started. */
    default void ended(Ticket ticket, boolean met, long nowNanos) {}

    /** Returns whether a request may be added to a queue of the given capacity. */
    boolean accepts(Ticket ticket, int capacity);

    /** Returns the number of waiting requests. */
    int size();

    /**
     * Slots that are free and will come free.
     *
     * @param nowNanos time now, in nanoseconds
     * @param freeSlots number of free slots
     * @param reservedSlots number of free slots that over-served accounts may not use
     * @param slotsPerSecond slots that come free per second, infinite if unknown
     */
    record Supply(long nowNanos, int freeSlots, int reservedSlots, double slotsPerSecond) {}
}
