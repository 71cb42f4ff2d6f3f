package hyssopturn.node;

/** What a caller's connection waits for. */
enum CallerState {
    /** A request that was read completely is being answered. */
    BUSY,
    /** A complete answer has not been read by its caller. */
    UNREAD,
    /** A part of a request has arrived. */
    INCOMPLETE,
    /** Nothing has arrived since the last answer. */
    IDLE
}
