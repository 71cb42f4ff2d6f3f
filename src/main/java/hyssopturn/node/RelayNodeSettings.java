package hyssopturn.node;

import java.time.Duration;

/**
 * The product's own settings of a node on the users' platform.
 *
 * @param connectTimeout longest time to connect to an endpoint
 * @param firstEventCheck time without a first event after which all engines are checked for life
 * @param gapCheck time without a further event after which all engines are checked for life
 * @param firstEventStall time without a first event after which an engine is asked why
 * @param gapStall time without a further event after which an engine is asked why
 * @param retryAfter time after which a refused caller should come back
 * @param configWait how long a read of the configuration waits for a change
 * @param nodesAtMost number of nodes that the fixed part of the retry budget is split over
 * @param sharers nodes that send about as much to an engine as this one
 * @param logLines greatest number of log lines in a second
 */
public record RelayNodeSettings(
        Duration connectTimeout,
        Duration firstEventCheck,
        Duration gapCheck,
        Duration firstEventStall,
        Duration gapStall,
        Duration retryAfter,
        Duration configWait,
        int nodesAtMost,
        int sharers,
        int logLines) {}
