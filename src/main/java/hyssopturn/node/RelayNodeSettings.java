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
 * @param nodes number of nodes that are taken to run until the log has told how many do
 * @param logLines greatest number of log lines in a second
 */
public record RelayNodeSettings(
        Duration connectTimeout,
        Duration firstEventCheck,
        Duration gapCheck,
        Duration firstEventStall,
        Duration gapStall,
        Duration retryAfter,
        int nodes,
        int logLines) {}
