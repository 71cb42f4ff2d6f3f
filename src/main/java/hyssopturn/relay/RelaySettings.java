package hyssopturn.relay;

import java.time.Duration;

/**
 * Settings of the path of requests.
 *
 * @param zone availability zone of this node
 * @param connectTimeout longest time to connect to an endpoint
 * @param firstEventCheck time without a first event after which all engines are checked for life
 * @param gapCheck time without a further event after which all engines are checked for life
 * @param firstEventStall time without a first event after which the first engine is asked why
 * @param gapStall time without a further event after which the first engine is asked why
 * @param retryAfter time after which a caller should come back when nothing can serve it now
 */
public record RelaySettings(
        String zone,
        Duration connectTimeout,
        Duration firstEventCheck,
        Duration gapCheck,
        Duration firstEventStall,
        Duration gapStall,
        Duration retryAfter) {}
