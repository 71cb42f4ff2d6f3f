package hyssopturn.relay;

import java.time.Duration;

/**
 * Settings of the request path.
 *
 * @param zone availability zone of this node
 * @param connectTimeout longest time to connect to an endpoint
 * @param firstEventCheck time without a first event after which the liveness of all engines of the
 *     chain is checked
 * @param gapCheck time without a further event after which the liveness of all engines of the chain
 *     is checked
 * @param firstEventStall time without a first event after which the first engine is queried for the
 *     cause of the stall
 * @param gapStall time without a further event after which the first engine is queried for the
 *     cause of the stall
 * @param shutdownPeriod how long after an endpoint announced its shutdown it still serves requests
 *     that no other one can serve
 * @param retryAfter time after which a caller should retry a request that was refused
 * @param admission whether new streams are held or refused while engines have no memory for them
 * @param zoneChoice whether the load of other zones' clients decides where requests are sent
 */
public record RelaySettings(
        String zone,
        Duration connectTimeout,
        Duration firstEventCheck,
        Duration gapCheck,
        Duration firstEventStall,
        Duration gapStall,
        Duration shutdownPeriod,
        Duration retryAfter,
        boolean admission,
        boolean zoneChoice) {}
