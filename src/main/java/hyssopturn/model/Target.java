package hyssopturn.model;

import java.time.Duration;

/** Latency target of a class of work. */
public sealed interface Target {
    /**
     * Returns the target time to the first output.
     *
     * @return time from arrival to the first token or to the answer
     */
    Duration first();

    /**
     * Target of a class that streams tokens.
     *
     * @param first time from arrival to the first token
     * @param between time between consecutive tokens
     */
    record Stream(Duration first, Duration between) implements Target {}

    /**
     * Target of a class that returns a single answer.
     *
     * @param first time from arrival to the answer
     */
    record Answer(Duration first) implements Target {}
}
