package hyssopturn.relay;

import hyssopturn.limit.LimitNotice;

import java.time.Duration;
import java.util.Optional;

/**
 * What an endpoint says about itself in the head of an answer.
 *
 * @param shuttingDown true if it is shutting down and will take no more requests
 * @param pause how long it wants no requests from this node, empty if it does not ask for a pause
 * @param limit what it says about the limit on the requests of all nodes together
 */
public record EndpointNotice(boolean shuttingDown, Optional<Duration> pause, LimitNotice limit) {
    /** The notice of an answer that says nothing. */
    public static final EndpointNotice NONE =
            new EndpointNotice(false, Optional.empty(), new LimitNotice.Unsaid());
}
