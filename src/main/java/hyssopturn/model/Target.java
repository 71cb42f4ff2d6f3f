package hyssopturn.model;

import java.time.Duration;

/** What the system must meet for a class of work. */
public sealed interface Target {
    /**
     * Returns the time by which the caller must see something first.
     *
     * @return time from arrival to the first token or to the answer
     */
    Duration first();

    /**
     * Target of a class that streams tokens.
     *
     * @param first time from arrival to the first token
     * @param between time between two tokens
     */
    record Stream(Duration first, Duration between) implements Target {}

    /**
     * Target of a class that gives one answer.
     *
     * @param first time from arrival to the answer
     */
    record Answer(Duration first) implements Target {}
}
