package hyssopturn.node;

import java.time.Duration;

/**
 * Settings of a node on the users' platform that this product defines, in addition to those of the
 * platform.
 *
 * @param connectTimeout timeout for connecting to an endpoint
 * @param firstEventCheck time without a first event after which the liveness of all engines of the
 *     chain is probed
 * @param gapCheck time without a further event after which the liveness of all engines of the chain
 *     is probed
 * @param firstEventStall time without a first event after which the first engine is queried for the
 *     cause of the stall
 * @param gapStall time without a further event after which the first engine is queried for the
 *     cause of the stall
 * @param retryAfter time after which a refused caller should retry
 * @param nodes number of nodes assumed until the actual number is derived from the log
 * @param logLines maximum number of log lines per second
 * @param admission whether new streams are held or refused while engines have no memory for them
 * @param zoneChoice whether the load of other zones' clients decides where requests are sent
 * @param loadNodes number of nodes from which on they tell each other their loads
 * @param callers limits on what callers occupy together
 */
public record RelayNodeSettings(
        Duration connectTimeout,
        Duration firstEventCheck,
        Duration gapCheck,
        Duration firstEventStall,
        Duration gapStall,
        Duration retryAfter,
        int nodes,
        int logLines,
        boolean admission,
        boolean zoneChoice,
        int loadNodes,
        CallerBudget callers) {}
