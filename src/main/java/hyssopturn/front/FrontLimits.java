package hyssopturn.front;

import java.time.Duration;

/**
 * Limits on requests and connections of callers.
 *
 * @param bodyBytes maximum size of a body, in bytes
 * @param headerBytes maximum size of all headers together, in bytes
 * @param connections maximum number of open connections
 * @param idle idle timeout of a connection
 */
public record FrontLimits(long bodyBytes, int headerBytes, int connections, Duration idle) {
    /** Limits that suit small instances. */
    public static final FrontLimits SMALL =
            new FrontLimits(1L << 20, 16 << 10, 10_000, Duration.ofMinutes(2));
}
