package hyssopturn.front;

import java.time.Duration;

/**
 * Bounds on what callers may send.
 *
 * @param bodyBytes greatest size of a body, in bytes
 * @param headerBytes greatest size of all headers, in bytes
 * @param connections greatest number of open connections
 * @param idle how long a connection may carry nothing
 */
public record FrontLimits(long bodyBytes, int headerBytes, int connections, Duration idle) {
    /** Bounds that suit small instances. */
    public static final FrontLimits SMALL =
            new FrontLimits(1L << 20, 16 << 10, 10_000, Duration.ofMinutes(2));
}
