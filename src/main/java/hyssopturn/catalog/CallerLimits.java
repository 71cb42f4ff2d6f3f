package hyssopturn.catalog;

import java.time.Duration;

/**
 * Limits on callers' requests and connections.
 *
 * @param headerBytes greatest size of a request's headers, in bytes
 * @param bodyBytes greatest size of a request's body, in bytes
 * @param idleTimeout how long a caller's connection may stay idle
 */
public record CallerLimits(int headerBytes, long bodyBytes, Duration idleTimeout) {}
