package hyssopturn.overload;

/** What to do with a new stream. */
public sealed interface Decision {
    /** Start the stream now. */
    record Start() implements Decision {}

    /** Hold the stream until there is room for it. */
    record Hold() implements Decision {}

    /**
     * Refuse the stream, of which nothing was sent.
     *
     * @param cause why it cannot be served in time
     */
    record Refuse(String cause) implements Decision {}
}
