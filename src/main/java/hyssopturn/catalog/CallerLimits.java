package hyssopturn.catalog;

import java.time.Duration;

/**
 * Limits on callers' requests and connections.
 *
 * @param headerBytes greatest size of a request's headers, in bytes
 * @param bodyBytes greatest size of a request's body, in bytes
 * @param headTimeout how long a caller may take to send the head of a request
 * @param idleTimeout how long a caller's connection may stay idle
 */
public record CallerLimits(
        int headerBytes, long bodyBytes, Duration headTimeout, Duration idleTimeout) {
    /** Limits of a node that knows no configuration yet: no request is too large for it. */
    public static final CallerLimits UNCONFIGURED =
            new CallerLimits(
                    Integer.MAX_VALUE,
                    Long.MAX_VALUE,
                    Duration.ofSeconds(60),
                    Duration.ofSeconds(60));
}
